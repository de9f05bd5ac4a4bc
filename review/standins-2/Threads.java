/** Daemon threads of the stand-ins. Stateless and thread-safe. */
final class Threads {
    private Threads() {}

    static Thread start(Runnable task) {
        Thread thread = new Thread(null, task, "standin", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
