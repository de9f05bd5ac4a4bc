package dev.lavenderline.serving.online;

/** Thrown if a caller's request is malformed; the message tells the caller which value is wrong and why. */
public final class BadRequestException extends RuntimeException {
    private static final long serialVersionUID = 1;

    public BadRequestException(String message) {
        super(message, null, false, false);
    }
}
