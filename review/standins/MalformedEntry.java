import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;

/**
 * Another writer puts one entry into the list of engines, a field of which is of another type. Later the engines are
 * replaced: new ones start, the old ones drain and leave.
 */
public final class MalformedEntry {
    static final int ITEMS = 20;
    static final int NESTING = 950;
    static final double DRAIN_S = 4.0;
    static final double FINISH_S = 18;

    public static void main(String[] args) throws Exception {
        Rig.main(Path.of(args[0]), MalformedEntry::holds);
    }

    static boolean holds(Rig rig, boolean trouble) throws Exception {
        rig.configure(1, 0);
        List<Rig.Engine> old = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            old.add(rig.addEngine("i-old-" + i, 8, 20, 0.02, ""));
        }
        rig.startNodes(3);
        streams(rig, "before");
        if (trouble) {
            rig.store.put("keyed.servers", "x-1", "{\"Service\":" + "[".repeat(NESTING) + "]".repeat(NESTING)
                    + ",\"Address\":1,\"State\":\"ready\",\"Sequence\":1}");
            rig.note("an entry of another writer is in the list of engines; its field Service is a list");
        }
        Rig.sleep(3);
        for (int i = 0; i < 3; i++) {
            rig.addEngine("i-new-" + i, 8, 20, 0.02, "");
        }
        Rig.sleep(2);
        List<Future<?>> leaving = new ArrayList<>();
        for (Rig.Engine engine : old) {
            leaving.add(rig.pool.submit(() -> engine.leave(DRAIN_S)));
        }
        for (Future<?> engine : leaving) {
            engine.get();
        }
        rig.note("the old engines have left, 3 new ones are ready since %.1f s", DRAIN_S + 2);
        Rig.sleep(4);
        String job = Rig.newJobId();
        if (rig.submit(rig.nodes.get(0), job, Rig.jobBody(job, ITEMS, 940, 600), 4000) != 202) {
            throw new Rig.CannotRun("the batch job was not accepted");
        }
        double ended = rig.now();
        streams(rig, "after");
        rig.sleepUntil(ended + FINISH_S + 3);
        int leastListed = ITEMS;
        for (Rig.Node node : rig.nodes) {
            String text = rig.results(node, job, 0).text();
            int listed = Integer.parseInt(text.replaceAll("(?s).*\"NextToken\":(\\d+).*", "$1"));
            rig.note("%s: GET %s: %d of %d items are listed", node.name, job, listed, ITEMS);
            leastListed = Math.min(leastListed, listed);
        }
        streams(rig, "at the end");
        for (Rig.Engine engine : rig.engines) {
            rig.note("%s: %s, %d runs, %d of items of the batch job", engine.id, engine.state, engine.runs.size(),
                    engine.runs.stream().filter(run -> run.id.startsWith(job)).count());
        }
        return leastListed == ITEMS;
    }

    private static void streams(Rig rig, String when) throws Exception {
        List<Integer> statuses = new ArrayList<>();
        for (Rig.Node node : rig.nodes) {
            statuses.add(rig.call(node, "POST", Rig.STREAM_PREFIX + "2f",
                    Map.of("Host", Rig.STREAM_HOST, "Request-Id", Rig.newJobId(), "Request-Deadline", "5000"),
                    new byte[100], 6000).status);
        }
        rig.note("streams %s: %s", when, statuses);
    }
}
