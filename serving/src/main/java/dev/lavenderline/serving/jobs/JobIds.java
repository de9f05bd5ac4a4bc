package dev.lavenderline.serving.jobs;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** Ids under which the jobs of callers are kept. Stateless and thread-safe. */
public final class JobIds {
    private static final int HASH_DIGITS = 16;

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
        return callerId + "~" + hash.substring(0, HASH_DIGITS);
    }
}
