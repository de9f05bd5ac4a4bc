import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The operator moves a batch route to another service while its items run and give way to streams now and then. */
public final class RouteMoved {
    static final int ITEMS = 24;
    static final double STREAMS_PER_S = 3;
    static final double TRAFFIC_S = 8;

    public static void main(String[] args) throws Exception {
        Rig.main(Path.of(args[0]), RouteMoved::holds);
    }

    static boolean holds(Rig rig, boolean trouble) throws Exception {
        rig.configure(1, 0, true, false, "\"Service\":\"" + Rig.SERVICE + "\"");
        for (int i = 0; i < 2; i++) {
            rig.addEngine("i-a" + i, Rig.SERVICE, 8, 80, 0.04, " of " + Rig.SERVICE);
            rig.addEngine("i-b" + i, Rig.OTHER_SERVICE, 8, 80, 0.04, " of " + Rig.OTHER_SERVICE);
        }
        rig.startNodes(3);
        String job = Rig.newJobId();
        if (rig.submit(rig.nodes.get(0), job, Rig.jobBody(job, ITEMS, 940, 600), 4000) != 202) {
            throw new Rig.CannotRun("the batch job was not accepted");
        }
        double accepted = rig.now();
        boolean moved = false;
        List<Future<Integer>> streams = new ArrayList<>();
        while (rig.now() < accepted + TRAFFIC_S) {
            Rig.Node node = rig.nodes.get(streams.size() % 3);
            streams.add(rig.pool.submit(() -> rig.call(node, "POST", Rig.STREAM_PREFIX + "2f",
                    Map.of("Host", Rig.STREAM_HOST, "Request-Id", Rig.newJobId(), "Request-Deadline", "5000"),
                    new byte[100], 6000).status));
            Rig.sleep(1 / STREAMS_PER_S);
            if (trouble && !moved && rig.now() > accepted + 1.5) {
                moved = true;
                rig.configure(4, 0, true, false, "\"Service\":\"" + Rig.OTHER_SERVICE + "\"");
                rig.note("version 4 is acknowledged: the batch route goes to %s", Rig.OTHER_SERVICE);
            }
        }
        int served = 0;
        for (Future<Integer> stream : streams) {
            served += stream.get() == 200 ? 1 : 0;
        }
        rig.note("streams: %d, served: %d", streams.size(), served);
        rig.sleepUntil(accepted + 22);
        for (Rig.Run run : rig.runs()) {
            if (run.id.startsWith(job)) {
                rig.note("run of %s from %.3f, Last-Event-Id %s: %s", run.id, run.began, run.lastEventId, run.end);
            }
        }
        String text = rig.results(rig.nodes.get(1), job, 0).text();
        Matcher results = Pattern.compile("\"Id\":\"(\\w+)\",\"State\":\"completed\",\"Output\":\"([^\"]*)\"").matcher(text);
        int completed = 0;
        int joined = 0;
        while (results.find()) {
            completed++;
            String[] lines = results.group(2).split("\\\\n");
            String first = lines[0].substring(lines[0].lastIndexOf(' ') + 1);
            int same = 0;
            while (same < lines.length && lines[same].endsWith(" " + first)) {
                same++;
            }
            if (same < lines.length) {
                joined++;
                rig.note("result %s: events 1 to %d of %s, then \"%s\"", results.group(1), same, first, lines[same]);
            }
        }
        rig.note("%d of %d items are completed, %d of them with a text joined from two services", completed, ITEMS, joined);
        if (completed < ITEMS) {
            throw new Rig.CannotRun("not all items are completed");
        }
        return joined == 0;
    }
}
