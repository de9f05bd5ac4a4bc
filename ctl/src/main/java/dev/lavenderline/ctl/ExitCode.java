package dev.lavenderline.ctl;

/** Exit codes of {@code lavenderctl}. */
final class ExitCode {
    static final int SUCCESS = 0;
    /** The change was lost or a check failed. */
    static final int FAILED = 1;
    /** The command line or the folder cannot be used. */
    static final int USAGE = 2;
    /** The log or a node is unavailable. */
    static final int UNAVAILABLE = 69;
    /** A defect, or records that this release cannot read. */
    static final int INTERNAL = 70;

    private ExitCode() {}
}
