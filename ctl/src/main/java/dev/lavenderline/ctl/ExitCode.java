package dev.lavenderline.ctl;

/** Exit codes of {@code lavenderctl}. */
final class ExitCode {
    static final int SUCCESS = 0;
    /** The change conflicts with a newer revision, or a check failed. */
    static final int FAILED = 1;
    /** The command line is invalid or the folder cannot be read. */
    static final int USAGE = 2;
    /** The log or a node is unavailable. */
    static final int UNAVAILABLE = 69;
    /** A bug, or log records that this release cannot read. */
    static final int INTERNAL = 70;

    private ExitCode() {}
}
