import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;

/** The store forgets its history after a batch job of 200 items with short outputs has completed and been read. */
public final class ForgottenHistory {
    static final int ITEMS = 200;
    static final int SHORT_EVENTS = 20;
    static final int USUAL_EVENTS = 172;
    static final int OTHER_JOBS = 45;
    static final int OTHER_ITEMS = 10;
    static final int ROUNDS = 4;

    public static void main(String[] args) throws Exception {
        Rig.main(Path.of(args[0]), ForgottenHistory::holds);
    }

    static boolean holds(Rig rig, boolean trouble) throws Exception {
        rig.configure(1, 0);
        for (int i = 0; i < 3; i++) {
            rig.addEngine("i-" + i, 8, 0, 0.005, "x".repeat(40));
        }
        rig.startNodes(3);
        String job = Rig.newJobId();
        // The first item has half the output of the others, so that its result is the first one.
        int tokens = SHORT_EVENTS * Rig.TOKENS_PER_EVENT * 5 / 3 + 1;
        if (rig.submit(rig.nodes.get(0), job, Rig.jobBody(job, ITEMS, tokens / 2, tokens, 100), 4000) != 202) {
            throw new Rig.CannotRun("the batch job was not accepted");
        }
        Rig.sleep(6);
        for (Rig.Node node : rig.nodes) {
            if (!readAll(rig, node, job)) {
                throw new Rig.CannotRun("the results were not listed in time");
            }
        }
        serveOthers(rig);
        if (trouble) {
            rig.store.forgetHistory();
            rig.note("the store has forgotten its history");
        }
        readEverywhere(rig, job, 1);
        serveOthers(rig);
        int read = readEverywhere(rig, job, ROUNDS);
        List<Future<Integer>> others = new ArrayList<>();
        for (Rig.Node node : rig.nodes) {
            others.add(rig.pool.submit(() -> rig.call(node, "POST", Rig.STREAM_PREFIX + "2f",
                    java.util.Map.of("Host", Rig.STREAM_HOST, "Request-Id", Rig.newJobId(), "Request-Deadline", "5000",
                            "Token-Counts", "100,70"), new byte[100], 6000).status));
        }
        for (Future<Integer> other : others) {
            rig.note("a stream at the end: %d", other.get());
        }
        rig.note("reads of batch job %s at the end: %d of %d answered", job, read, ROUNDS * rig.nodes.size());
        return read > 0;
    }

    /** Submits, completes and reads batch jobs of usual size at all nodes. */
    private static void serveOthers(Rig rig) throws Exception {
        List<Future<?>> clients = new ArrayList<>();
        for (int i = 0; i < OTHER_JOBS; i++) {
            Rig.Node node = rig.nodes.get(i % 3);
            clients.add(rig.pool.submit(() -> {
                String job = Rig.newJobId();
                byte[] body = Rig.jobBody(job, OTHER_ITEMS, USUAL_EVENTS * Rig.TOKENS_PER_EVENT * 5 / 3, 600);
                Rig.Answer answer = rig.call(node, "POST", Rig.BATCH_PREFIX + job.substring(0, 6),
                        java.util.Map.of("Request-Id", job, "Request-Deadline", "4000"), body, 5000);
                if (answer.status != 202) {
                    rig.note("%s: another batch job: %d", node.name, answer.status);
                    return null;
                }
                for (int round = 0; round < 60; round++) {
                    Rig.sleep(0.5);
                    if (rig.results(node, job, 0).text().contains("\"NextToken\":" + OTHER_ITEMS + ",")) {
                        for (Rig.Node other : rig.nodes) {
                            rig.results(other, job, 0);
                        }
                        return null;
                    }
                }
                rig.note("%s: another batch job is not complete", node.name);
                return null;
            }));
            Rig.sleep(0.05);
        }
        int failed = 0;
        for (Future<?> client : clients) {
            try {
                client.get();
            } catch (Exception e) {
                failed++;
            }
        }
        rig.note("other batch jobs: %d, with a call that was not answered: %d", OTHER_JOBS, failed);
    }

    private static int readEverywhere(Rig rig, String job, int rounds) throws Exception {
        int read = 0;
        for (int round = 0; round < rounds; round++) {
            List<Future<Boolean>> answers = new ArrayList<>();
            for (Rig.Node node : rig.nodes) {
                answers.add(rig.pool.submit(() -> readAll(rig, node, job)));
            }
            for (Future<Boolean> answer : answers) {
                read += answer.get() ? 1 : 0;
            }
        }
        return read;
    }

    private static boolean readAll(Rig rig, Rig.Node node, String job) {
        double sent = rig.now();
        try {
            Rig.Answer answer = rig.results(node, job, 0);
            boolean whole = answer.status == 200 && answer.text().contains("\"NextToken\":" + ITEMS + ",");
            rig.note("%s: GET %s: %d, %s, after %.3f s", node.name, job, answer.status,
                    whole ? "all results" : "not all results", rig.now() - sent);
            return whole;
        } catch (IOException e) {
            rig.note("%s: GET %s: no answer in %.3f s", node.name, job, rig.now() - sent);
            return false;
        }
    }
}
