package dev.lavenderline.node.jobs;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import dev.lavenderline.http.BatchApi.NewJob;
import java.nio.charset.StandardCharsets;
import java.util.TreeMap;

/** Derives job ids, so that a job that is sent again gets the same id on every node. Stateless. */
final class JobIds {
    private JobIds() {}

    /** Returns the id of the job under an idempotency key. */
    static String forKey(String workspace, String key) {
        return id(hasher("key", workspace).putString(key, StandardCharsets.UTF_8));
    }

    /**
     * Returns the id of a job without a key.
     *
     * @param generation number of equal jobs that ended before
     */
    static String forContent(String workspace, NewJob job, int generation) {
        Hasher hasher = hasher("content", workspace);
        field(hasher, job.fileId());
        field(hasher, job.endpoint());
        field(hasher, job.completionWindow().toString());
        new TreeMap<>(job.metadata()).forEach((name, value) -> {
            field(hasher, name);
            field(hasher, value);
        });
        return id(hasher.putInt(generation));
    }

    private static Hasher hasher(String kind, String workspace) {
        Hasher hasher = Hashing.sha256().newHasher();
        field(hasher, kind);
        field(hasher, workspace);
        return hasher;
    }

    private static void field(Hasher hasher, String value) {
        hasher.putInt(value.length()).putString(value, StandardCharsets.UTF_8);
    }

    private static String id(Hasher hasher) {
        return "batch_" + hasher.hash().toString().substring(0, 24);
    }
}
