package dev.lavenderline.serving.online;

/** Statuses that tell a caller that its request has not run and never will. */
final class RejectionStatus {
    private RejectionStatus() {}

    /** Returns whether a caller may take a status for the promise that its request has not run. */
    static boolean promisesNotRun(int status) {
        return switch (status) {
            case 408, 421, 429, 503 -> true;
            default -> false;
        };
    }
}
