package dev.lavenderline.standins;

/** One stand-in as a command of {@link Main}. */
public interface Command {
    /**
     * Starts the stand-in and prints {@code ready PORT} on standard output once it accepts connections.
     *
     * @param args arguments after the command's name
     * @throws IllegalArgumentException if an argument is unknown or malformed
     */
    void run(String[] args);
}
