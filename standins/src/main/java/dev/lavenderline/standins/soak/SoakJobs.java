package dev.lavenderline.standins.soak;

import dev.lavenderline.standins.platform.History;
import dev.lavenderline.standins.platform.JobCall;
import dev.lavenderline.standins.platform.JobCall.Answer;
import dev.lavenderline.standins.platform.JobRecord;
import dev.lavenderline.standins.platform.JobRecord.Item;
import dev.lavenderline.standins.platform.JobRecord.Listing;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.DoublePredicate;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A client of batch jobs: submits one after the other at any node, reads their results and ends some of them.
 *
 * <p>Confined to the thread that runs it.
 */
final class SoakJobs implements Runnable {
    private static final int MAX_ITEMS = 10;
    private static final int MAX_EVENTS = 20;
    private static final int MAX_SUBMISSIONS = 8;
    private static final int MAX_END_CALLS = 20;
    private static final int READS_DURING_LOAD = 4;
    private static final double END_SHARE = 0.15;
    private static final double FAILING_ITEM_SHARE = 0.05;
    private static final double IMPOSSIBLE_ITEM_SHARE = 0.03;
    private static final int CALL_TIMEOUT_MS = 3000;
    private static final int READ_INTERVAL_MS = 500;

    /** Time after which a batch job has to be known at all nodes in touch, in seconds ({@code SettleMs}). */
    private static final double SETTLE_S = 3;

    private final UniformRandomProvider random;
    private final List<SoakNode> nodes;
    private final History history;
    private final DoublePredicate inTouch;
    private final BooleanSupplier running;
    private final Consumer<JobRecord> jobs;

    SoakJobs(
            int number,
            long seed,
            SoakFleet fleet,
            DoublePredicate inTouch,
            BooleanSupplier running,
            Consumer<JobRecord> jobs) {
        this.random = RandomSource.SPLIT_MIX_64.create(seed * 7_000_003 + number);
        this.nodes = fleet.nodes();
        this.history = fleet.history();
        this.inTouch = inTouch;
        this.running = running;
        this.jobs = jobs;
    }

    @Override
    public void run() {
        try {
            while (running.getAsBoolean()) {
                JobRecord job = submit();
                jobs.accept(job);
                boolean ends = random.nextDouble() < END_SHARE;
                for (int i = 0; i < READS_DURING_LOAD && job.accepted().isPresent() && !job.whole(); i++) {
                    TimeUnit.MILLISECONDS.sleep(READ_INTERVAL_MS);
                    read(job, random.nextBoolean() ? 0 : job.listings().size());
                    if (ends && i == 1) {
                        end(job);
                    }
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private SoakNode anyNode() {
        return nodes.get(random.nextInt(nodes.size()));
    }

    private JobRecord submit() throws InterruptedException {
        String id = String.format("%016x", random.nextLong());
        List<Item> items = new ArrayList<>();
        JsonArray entries = new JsonArray();
        int count = 1 + random.nextInt(MAX_ITEMS);
        for (int i = 0; i < count; i++) {
            double choice = random.nextDouble();
            String prefix = choice < FAILING_ITEM_SHARE
                    ? "f500"
                    : choice < FAILING_ITEM_SHARE + IMPOSSIBLE_ITEM_SHARE ? "f422" : "0000";
            Item item =
                    new Item(prefix + String.format("%012x", random.nextLong() >>> 16), 1 + random.nextInt(MAX_EVENTS));
            items.add(item);
            entries.add(new JsonObject()
                    .put("Id", item.id())
                    .put("Path", SoakFleet.BATCH_PREFIX + "1/" + i)
                    .put(
                            "Headers",
                            new JsonObject()
                                    .put("Model", "m")
                                    .put("Token-Counts", "250," + item.events())
                                    .put(
                                            "Prompt-Prefix",
                                            "5c1e07a2:100," + item.id().substring(8) + ":150"))
                    .put("Body", "q83vEjRWeJA=")
                    .put("Tokens", 250 + item.events()));
        }
        JobRecord job = new JobRecord(id, items);
        byte[] body = new JsonObject().put("Items", entries).encode().getBytes(StandardCharsets.UTF_8);
        for (int i = 0; i < MAX_SUBMISSIONS && job.accepted().isEmpty(); i++) {
            Answer answer = call(
                    anyNode(), "POST", SoakFleet.BATCH_PREFIX + id.substring(0, 6), "Request-Id: " + id + "\r\n", body);
            job.submitted(answer.status(), history.seconds());
            if (answer.status() != 202) {
                TimeUnit.MILLISECONDS.sleep(READ_INTERVAL_MS);
            }
        }
        return job;
    }

    private static Answer call(SoakNode node, String method, String path, String headers, byte[] body) {
        return JobCall.send(
                node.callersAddress(),
                method,
                path,
                SoakFleet.HOST,
                headers + "Content-Type: application/json\r\n",
                body,
                CALL_TIMEOUT_MS);
    }

    private void end(JobRecord job) throws InterruptedException {
        job.endAsked();
        for (int i = 0; i < MAX_END_CALLS; i++) {
            if (call(anyNode(), "DELETE", "/v1/lots/" + job.id(), "", new byte[0])
                            .status()
                    == 200) {
                job.endAcknowledged(history.seconds());
                return;
            }
            TimeUnit.MILLISECONDS.sleep(READ_INTERVAL_MS);
        }
    }

    /** Reads results from a position on at some node, and records them; returns whether the node had any answer. */
    boolean read(JobRecord job, int after) {
        SoakNode node = anyNode();
        double asked = history.seconds();
        Answer answer = call(node, "GET", "/v1/lots/" + job.id() + "?After=" + after, "", new byte[0]);
        boolean unknown = answer.status() == 404 || answer.status() == 410;
        if (unknown && asked > job.accepted().orElse(asked) + SETTLE_S && inTouch.test(asked)) {
            job.missing("status " + answer.status() + " at " + node.name());
        }
        if (answer.status() != 200) {
            return false;
        }
        JsonObject results = new JsonObject(answer.text());
        job.total(results.getInteger("Total"));
        int position = after;
        for (Object entry : results.getJsonArray("Results")) {
            JsonObject result = (JsonObject) entry;
            job.listed(
                    position++,
                    new Listing(result.getString("Id"), result.getString("State"), result.getString("Output", "")),
                    node.name());
        }
        return true;
    }

    /** Reads open batch jobs from the start until all items are listed, at most for a time. */
    void finish(List<JobRecord> open, long millis) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        for (JobRecord job : open) {
            while (job.accepted().isPresent() && System.nanoTime() < end) {
                boolean answered = read(job, 0);
                boolean unread = !job.whole();
                if (unread && read(job, job.listings().size())) {
                    unread = !job.whole();
                }
                if (answered && (!unread || job.isEndAsked())) {
                    break;
                }
                TimeUnit.MILLISECONDS.sleep(READ_INTERVAL_MS);
            }
        }
    }
}
