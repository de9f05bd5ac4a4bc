package dev.lavenderline.core.routing;

import dev.lavenderline.core.config.FleetConfig;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Decides when and to which upstream each online request is sent.
 *
 * <p>Not thread-safe; confined to the node's event loop. Decisions are delivered through callbacks on the caller's
 * thread, possibly before {@link #submit} returns.
 *
 * <pre>{@code
 * dispatcher.submit(profile, decision -> decision.fold(this::refuse, this::send))
 *         .peekLeft(this::refuse)
 *         .peek(ticket -> this.ticket = ticket);
 * }</pre>
 */
public interface Dispatcher {
    /**
     * Submits a request. A left result is an immediate refusal; otherwise the callback gets exactly one decision for
     * the submission and one for each successful {@link Ticket#retry}.
     */
    Either<Refusal, Ticket> submit(RequestProfile profile, Consumer<Either<Refusal, Attempt>> onDecision);

    /** Replaces the configuration; upstreams that disappeared get no new work. */
    void configure(FleetConfig config);

    /** Replaces the set of leaving addresses, each a host or {@code host:port}; their upstreams get no new work. */
    void setLeavingAddresses(Set<String> addresses);

    /** Refuses queued requests whose deadline cannot be met and updates latency medians; call about every 10 ms. */
    void tick();

    /** An admitted request. */
    interface Ticket {
        /** Requests another attempt after a failure, within the retry budget; avoids {@code excluded} upstreams. */
        Optional<Refusal> retry(Set<String> excluded);

        /** Returns how long to wait for the first token before hedging; empty if hedging is not worthwhile. */
        Optional<Duration> hedgeDelay();

        /** Starts a second attempt immediately if the budget and another upstream allow it. */
        Optional<Attempt> hedge();

        /** Ends the request; open attempts count as cancelled. Idempotent. */
        void close();
    }

    /** One attempt of a request at one upstream; ends with {@code finished}, {@code failed} or {@code cancelled}. */
    interface Attempt {
        /** Returns the name of the upstream. */
        String upstream();

        /** Records the first token or the response head of a plain service. */
        void firstToken();

        /** Records tokens received since the last call. */
        void tokens(int count);

        /** Records a complete answer. */
        void finished();

        /** Records a failure. */
        void failed(Failure failure);

        /** Records that the node ended the attempt itself; does not count as a failure of the upstream. */
        void cancelled();
    }

    /** How an attempt failed. */
    enum Failure {
        /** The connection could not be established; no byte was sent. */
        CONNECT,
        /** The connection broke. */
        BROKEN,
        /** Nothing arrived for longer than the limit. */
        SILENT,
        /** The upstream answered that it cannot serve (5xx, 429). */
        REJECTED
    }
}
