package dev.lavenderline.standins;

/** Command of {@link Main} that starts one stand-in. */
public interface Command {
    /**
     * Starts the stand-in and prints {@code ready PORT} on standard output once it accepts connections.
     *
     * @param args arguments after the command name
     * @throws IllegalArgumentException if an argument is unknown or malformed
     */
    void run(String[] args);
}
