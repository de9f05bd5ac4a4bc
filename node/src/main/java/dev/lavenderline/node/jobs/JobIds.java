package dev.lavenderline.node.jobs;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import dev.lavenderline.http.BatchApi.NewJob;
import java.nio.charset.StandardCharsets;
import java.util.TreeMap;

/** Derives job ids from requests, so that a repeated request gets the same id on every node. Stateless. */
final class JobIds {
    private JobIds() {}

    /** Returns the id of the job with an idempotency key. */
    static String forKey(String workspace, String key) {
        return id(hasher("key", workspace).putString(key, StandardCharsets.UTF_8));
    }

    /**
     * Returns the id of a job without a key.
     *
     * @param generation number of identical jobs that have ended
     */
    static String forContent(String workspace, NewJob job, int generation) {
        Hasher hasher = hasher("content", workspace);
        putField(hasher, job.fileId());
        putField(hasher, job.endpoint());
        putField(hasher, job.completionWindow().toString());
        new TreeMap<>(job.metadata()).forEach((name, value) -> {
            putField(hasher, name);
            putField(hasher, value);
        });
        return id(hasher.putInt(generation));
    }

    private static Hasher hasher(String kind, String workspace) {
        Hasher hasher = Hashing.sha256().newHasher();
        putField(hasher, kind);
        putField(hasher, workspace);
        return hasher;
    }

    private static void putField(Hasher hasher, String value) {
        hasher.putInt(value.length()).putString(value, StandardCharsets.UTF_8);
    }

    private static String id(Hasher hasher) {
        return "batch_" + hasher.hash().toString().substring(0, 24);
    }
}
