package dev.lavenderline.serving.slots;

import dev.lavenderline.core.Timers;
import dev.lavenderline.proto.slots.QuotaDecision;
import dev.lavenderline.serving.workspaces.QuotaClient;
import dev.lavenderline.serving.workspaces.QuotaLedger;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Exchanges what concerns quotas between {@link QuotaClient} and the scheduler that the node uses, which may be its
 * own.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class QuotaConnection {
    private final String self;
    private final QuotaClient client;
    private final QuotaServer ownServer;
    private final Timers timers;
    private Consumer<Buffer> remote;
    private boolean local;
    private Consumer<String> counter = name -> {};

    QuotaConnection(String self, QuotaClient client, QuotaServer ownServer, Timers timers) {
        this.self = self;
        this.client = client;
        this.ownServer = ownServer;
        this.timers = timers;
    }

    void countWith(Consumer<String> metrics) {
        counter = metrics;
    }

    /** Returns the requests that this node has admitted, for the hello. */
    Map<String, List<Integer>> usage() {
        return client.usage();
    }

    /** Uses the scheduler of another node, to which the hello has been written. */
    void connected(Consumer<Buffer> connection) {
        remote = connection;
        local = false;
        client.connected();
        client.waiting().forEach((id, workspace) -> remote.accept(QuotaFrames.request(id, workspace)));
    }

    /** Uses the scheduler of this node. */
    void connectedLocally() {
        remote = null;
        local = true;
        ownServer.joined(self, client.usage());
        client.connected();
        client.waiting().forEach(this::decideLocally);
    }

    void disconnected() {
        remote = null;
        local = false;
        client.disconnected();
    }

    /** Sends the admissions that the scheduler does not know; call it before each ping. */
    void report() {
        Map<String, Integer> admissions = remote == null ? Map.of() : client.takeReport();
        if (!admissions.isEmpty()) {
            remote.accept(QuotaFrames.report(admissions));
        }
    }

    /** Records that the scheduler has answered a ping. */
    void acknowledged(long pingNanos) {
        client.acknowledged(pingNanos);
    }

    void limited(Collection<String> workspaces) {
        client.replaceLimited(workspaces);
    }

    void decided(QuotaDecision decision) {
        client.decided(decision.getId(), decision.getAdmitted(), Duration.ofMillis(decision.getRetryAfterMs()));
    }

    private void decideLocally(long id, String workspace) {
        QuotaLedger.Decision decision = ownServer.decide(self, workspace);
        client.decided(id, decision.outcome() == QuotaLedger.Outcome.ADMITTED, decision.retryAfter());
    }

    /** Admits a request that needs no slot, or lets it wait for the scheduler's decision. */
    void admit(String workspace, QuotaClient.Listener listener) {
        if (!client.counts(workspace)) {
            listener.admitted();
            return;
        }
        QuotaClient.Listener counted = counted(listener);
        if (!local && client.tryAdmit(workspace)) {
            if (client.reportDue(workspace)) {
                report();
            }
            counted.admitted();
            return;
        }
        report();
        long id = client.await(workspace, counted);
        if (local) {
            decideLocally(id, workspace);
            return;
        }
        counter.accept("lavenderline_quota_requests");
        // The clock of the timers may be up to a millisecond ahead.
        timers.after(QuotaClient.MAX_WAIT.plusMillis(1), client::expire);
        if (remote != null) {
            remote.accept(QuotaFrames.request(id, workspace));
        }
    }

    private QuotaClient.Listener counted(QuotaClient.Listener listener) {
        return new QuotaClient.Listener() {
            @Override
            public void admitted() {
                counter.accept("lavenderline_quota_admissions");
                listener.admitted();
            }

            @Override
            public void overQuota(Duration retryAfter) {
                rejected();
                listener.overQuota(retryAfter);
            }

            @Override
            public void undecided() {
                listener.undecided();
            }
        };
    }

    /** Counts a request that the scheduler has rejected because of its quota. */
    void rejected() {
        counter.accept("lavenderline_quota_rejections");
    }

    private boolean charged(SlotRequest request) {
        return request.charged() && client.counts(request.workspace());
    }

    /** Returns whether a request may run that waits for a slot while there is no scheduler. */
    boolean mayRun(SlotRequest request) {
        return !charged(request) || client.mayAdmitUnreported(request.workspace());
    }

    /** Counts a request that has been placed without a scheduler. */
    void run(SlotRequest request) {
        if (charged(request)) {
            client.admitUnreported(request.workspace());
            counter.accept("lavenderline_quota_admissions");
        }
    }

    /** Counts a request that got a slot of the scheduler, which has charged it. */
    void granted(SlotRequest request) {
        if (charged(request)) {
            client.admittedByScheduler(request.workspace());
            counter.accept("lavenderline_quota_admissions");
        }
    }
}
