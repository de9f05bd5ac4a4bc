package dev.lavenderline.serving.jobs;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** Ids under which the jobs of callers are kept. Stateless and thread-safe. */
public final class JobIds {
    private static final int HASH_DIGITS = 16;
    private static final char TAG_MARK = '~';

    private JobIds() {}

    /**
     * Returns the id under which the job of a workspace is kept. The length of the suffix is fixed, so that no choice
     * of a caller's id gives the id of another workspace's job.
     *
     * @param callerId id that the caller chose
     * @param workspace name of the workspace, empty if there is none
     */
    public static String internal(String callerId, String workspace) {
        if (workspace.isEmpty()) {
            return callerId;
        }
        String hash =
                Hashing.sha256().hashString(workspace, StandardCharsets.UTF_8).toString();
        return callerId + TAG_MARK + hash.substring(0, HASH_DIGITS);
    }

    /** Returns whether the id is that under which a job of some workspace is kept whose caller chose the other id. */
    static boolean isInternalOf(String id, String callerId) {
        return id.length() == callerId.length() + 1 + HASH_DIGITS
                && id.startsWith(callerId)
                && id.charAt(callerId.length()) == TAG_MARK;
    }

    /** Returns what the ids of all jobs of a workspace end with, empty if the id is that of a job without one. */
    static String workspaceTag(String id) {
        int mark = id.length() - 1 - HASH_DIGITS;
        return mark >= 0 && id.charAt(mark) == TAG_MARK ? id.substring(mark) : "";
    }
}
