package dev.lavenderline.http;

import dev.lavenderline.core.config.FleetConfig;
import dev.lavenderline.core.config.Upstream;
import dev.lavenderline.core.routing.Dispatcher;
import dev.lavenderline.core.routing.Refusal;
import dev.lavenderline.core.routing.RequestProfile;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/**
 * Sends every request to the first upstream of its group, in name order, that the request has not tried yet. Records
 * the outcome of each attempt as {@code upstream:outcome}.
 */
final class TestDispatcher implements Dispatcher {
    final List<String> outcomes = new CopyOnWriteArrayList<>();
    volatile int retriesLeft = 10;
    volatile Optional<Duration> hedgeDelay = Optional.empty();
    volatile Optional<Refusal> refusal = Optional.empty();
    volatile int openTickets;
    private FleetConfig config = FleetConfig.EMPTY;

    @Override
    public Either<Refusal, Ticket> submit(RequestProfile profile, Consumer<Either<Refusal, Attempt>> onDecision) {
        if (refusal.isPresent()) {
            return Either.left(refusal.get());
        }
        TestTicket ticket = new TestTicket(profile, onDecision);
        openTickets++;
        ticket.decide(Set.of());
        return Either.right(ticket);
    }

    @Override
    public void configure(FleetConfig newConfig) {
        config = newConfig;
    }

    @Override
    public void setLeavingAddresses(Set<String> addresses) {}

    @Override
    public void tick() {}

    private List<Upstream> candidates(String group, Set<String> excluded) {
        List<Upstream> found = new ArrayList<>(config.upstreams().values());
        found.removeIf(upstream -> !upstream.group().equals(group) || excluded.contains(upstream.name()));
        found.sort(Comparator.comparing(Upstream::name));
        return found;
    }

    private final class TestTicket implements Ticket {
        private final RequestProfile profile;
        private final Consumer<Either<Refusal, Attempt>> onDecision;
        private final Set<String> tried = new HashSet<>();
        private boolean closed;

        TestTicket(RequestProfile profile, Consumer<Either<Refusal, Attempt>> onDecision) {
            this.profile = profile;
            this.onDecision = onDecision;
        }

        void decide(Set<String> excluded) {
            Optional<Attempt> attempt = next(excluded);
            onDecision.accept(
                    attempt.isPresent()
                            ? Either.right(attempt.get())
                            : Either.left(
                                    new Refusal(Refusal.Reason.NO_UPSTREAM, Duration.ofSeconds(1), "no upstream")));
        }

        private Optional<Attempt> next(Set<String> excluded) {
            Set<String> avoided = new HashSet<>(excluded);
            avoided.addAll(tried);
            List<Upstream> candidates = candidates(profile.group(), avoided);
            if (candidates.isEmpty()) {
                return Optional.empty();
            }
            tried.add(candidates.get(0).name());
            return Optional.of(new TestAttempt(candidates.get(0).name()));
        }

        @Override
        public Optional<Refusal> retry(Set<String> excluded) {
            if (retriesLeft <= 0) {
                return Optional.of(
                        new Refusal(Refusal.Reason.RETRY_BUDGET, Duration.ofSeconds(1), "the retry budget is used up"));
            }
            retriesLeft--;
            decide(excluded);
            return Optional.empty();
        }

        @Override
        public Optional<Duration> hedgeDelay() {
            return hedgeDelay;
        }

        @Override
        public Optional<Attempt> hedge() {
            return next(Set.of());
        }

        @Override
        public void close() {
            if (!closed) {
                closed = true;
                openTickets--;
            }
        }
    }

    private final class TestAttempt implements Attempt {
        private final String upstream;
        private boolean ended;

        TestAttempt(String upstream) {
            this.upstream = upstream;
        }

        private void recordOutcome(String outcome) {
            if (ended) {
                outcomes.add(upstream + ":settled-twice");
            }
            ended = true;
            outcomes.add(upstream + ":" + outcome);
        }

        @Override
        public String upstream() {
            return upstream;
        }

        @Override
        public void firstToken() {}

        @Override
        public void tokens(int count) {}

        @Override
        public void finished() {
            recordOutcome("finished");
        }

        @Override
        public void failed(Failure failure) {
            recordOutcome(failure.name());
        }

        @Override
        public void cancelled() {
            recordOutcome("cancelled");
        }
    }
}
