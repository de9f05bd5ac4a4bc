package dev.lavenderline.http;

import io.smallrye.mutiny.Uni;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** Keyed calls in memory; records each outcome as {@code key:outcome}. */
final class FakeKeyedCalls implements KeyedCalls {
    final List<String> outcomes = new CopyOnWriteArrayList<>();
    private final Map<String, byte[]> digests = new ConcurrentHashMap<>();
    private final Map<String, Answer> answers = new ConcurrentHashMap<>();
    private final Map<String, Boolean> unknown = new ConcurrentHashMap<>();
    volatile boolean logDown;
    private long claims;

    @Override
    public Uni<Either<ApiError, Permit>> claim(
            String workspace, String key, String route, byte[] digest, Duration timeout) {
        String id = workspace + "/" + key;
        if (logDown) {
            return left(ApiError.notRun("the log is not available", Duration.ofSeconds(1)));
        }
        byte[] known = digests.putIfAbsent(id, digest);
        if (known == null) {
            return Uni.createFrom().item(Either.right(new Run(workspace, key, ++claims)));
        }
        if (!Arrays.equals(known, digest)) {
            return left(new ApiError(422, "key_reused", "the key was used before", java.util.Optional.empty()));
        }
        if (unknown.containsKey(id)) {
            return left(ApiError.outcomeUnknown("the outcome of the call with this key is not known"));
        }
        return Uni.createFrom().item(Either.right(new Recorded(answers.get(id))));
    }

    private static Uni<Either<ApiError, Permit>> left(ApiError error) {
        return Uni.createFrom().item(Either.left(error));
    }

    @Override
    public Uni<Void> done(Run run, Answer answer) {
        outcomes.add(run.key() + ":done");
        answers.put(run.workspace() + "/" + run.key(), answer);
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
