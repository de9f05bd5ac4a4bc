package dev.lavenderline.http;

import io.smallrye.mutiny.Uni;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** In-memory {@link KeyedCalls}; records each outcome as {@code key:outcome}. */
final class FakeKeyedCalls implements KeyedCalls {
    final List<String> outcomes = new CopyOnWriteArrayList<>();
    private final Map<String, byte[]> digests = new ConcurrentHashMap<>();
    private final Map<String, Answer> responses = new ConcurrentHashMap<>();
    private final Map<String, Boolean> unknown = new ConcurrentHashMap<>();
    volatile boolean logUnavailable;
    private long claims;

    @Override
    public Uni<Either<ApiError, Permit>> claim(
            String workspace, String key, String route, byte[] digest, Duration timeout) {
        String id = workspace + "/" + key;
        if (logUnavailable) {
            return failed(ApiError.notRun("the log is not available", Duration.ofSeconds(1)));
        }
        byte[] claimedDigest = digests.putIfAbsent(id, digest);
        if (claimedDigest == null) {
            return Uni.createFrom().item(Either.right(new Run(workspace, key, ++claims)));
        }
        if (!Arrays.equals(claimedDigest, digest)) {
            return failed(new ApiError(422, "key_reused", "the key was used before", java.util.Optional.empty()));
        }
        if (unknown.containsKey(id)) {
            return failed(ApiError.outcomeUnknown("the outcome of the call with this key is not known"));
        }
        return Uni.createFrom().item(Either.right(new Recorded(responses.get(id))));
    }

    private static Uni<Either<ApiError, Permit>> failed(ApiError error) {
        return Uni.createFrom().item(Either.left(error));
    }

    @Override
    public Uni<Void> done(Run run, Answer response) {
        outcomes.add(run.key() + ":done");
        responses.put(run.workspace() + "/" + run.key(), response);
        return Uni.createFrom().voidItem();
    }

    @Override
    public Uni<Void> notRun(Run run) {
        outcomes.add(run.key() + ":not_run");
        digests.remove(run.workspace() + "/" + run.key());
        return Uni.createFrom().voidItem();
    }

    @Override
    public Uni<Void> unknown(Run run) {
        outcomes.add(run.key() + ":unknown");
        unknown.put(run.workspace() + "/" + run.key(), true);
        return Uni.createFrom().voidItem();
    }
}
