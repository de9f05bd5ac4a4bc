package dev.lavenderline.http;

import io.smallrye.mutiny.Uni;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** In-memory {@link KeyedCalls}; records each outcome as {@code key:outcome}. */
final class FakeKeyedCalls implements KeyedCalls {
    final List<String> outcomes = new CopyOnWriteArrayList<>();
    private final Map<String, byte[]> digests = new ConcurrentHashMap<>();
    private final Map<String, Response> responses = new ConcurrentHashMap<>();
    private final Map<String, Boolean> unknown = new ConcurrentHashMap<>();
    volatile boolean logUnavailable;
    private long claims;

    @Override
    public Uni<Either<ApiError, ClaimResult>> claim(
            String workspace, String key, String route, byte[] digest, Duration timeout) {
        String id = workspace + "/" + key;
        if (logUnavailable) {
            return failed(ApiError.notRun("the log is not available", Duration.ofSeconds(1)));
        }
        byte[] claimedDigest = digests.putIfAbsent(id, digest);
        if (claimedDigest == null) {
            return Uni.createFrom().item(Either.right(new Claimed(workspace, key, ++claims)));
        }
        if (!Arrays.equals(claimedDigest, digest)) {
            return failed(new ApiError(422, "key_reused", "the key was used before", Optional.empty()));
        }
        return recorded(id);
    }

    private Uni<Either<ApiError, ClaimResult>> recorded(String id) {
        if (unknown.containsKey(id)) {
            return failed(ApiError.outcomeUnknown("the outcome of the call with this key is not known"));
        }
        return Uni.createFrom().item(Either.right(new Replay(responses.get(id))));
    }

    @Override
    public Knowledge knows(String workspace, String key) {
        if (digests.containsKey(workspace + "/" + key)) {
            return Knowledge.RECORDED;
        }
        return logUnavailable ? Knowledge.UNCERTAIN : Knowledge.NOT_RECORDED;
    }

    @Override
    public Optional<Uni<Either<ApiError, ClaimResult>>> earlierResult(
            String workspace, String key, byte[] digest, Duration timeout) {
        String id = workspace + "/" + key;
        return Optional.ofNullable(digests.get(id))
                .filter(claimed -> Arrays.equals(claimed, digest))
                .map(claimed -> recorded(id));
    }

    private static Uni<Either<ApiError, ClaimResult>> failed(ApiError error) {
        return Uni.createFrom().item(Either.left(error));
    }

    @Override
    public Uni<Void> recordResponse(Claimed claimed, Response response) {
        outcomes.add(claimed.key() + ":done");
        responses.put(claimed.workspace() + "/" + claimed.key(), response);
        return Uni.createFrom().voidItem();
    }

    @Override
    public Uni<Void> recordNotRun(Claimed claimed) {
        outcomes.add(claimed.key() + ":not_run");
        digests.remove(claimed.workspace() + "/" + claimed.key());
        return Uni.createFrom().voidItem();
    }

    @Override
    public Uni<Void> recordUnknown(Claimed claimed) {
        outcomes.add(claimed.key() + ":unknown");
        unknown.put(claimed.workspace() + "/" + claimed.key(), true);
        return Uni.createFrom().voidItem();
    }
}
