import java.nio.file.Path;
import java.util.Map;

/** The operator removes the batch route, the only route of its host, while results of its batch jobs are read. */
public final class RouteRemoved {
    static final double CONFIGURATION_S = 2.5;

    public static void main(String[] args) throws Exception {
        Rig.main(Path.of(args[0]), RouteRemoved::holds);
    }

    static boolean holds(Rig rig, boolean trouble) throws Exception {
        rig.configure(1, 1_700_000);
        for (int i = 0; i < 3; i++) {
            rig.addEngine("i-" + i, 8, 40, 0.02, "");
        }
        rig.startNodes(3);
        String job = Rig.newJobId();
        if (rig.submit(rig.nodes.get(0), job, Rig.jobBody(job, 10, 940, 600), 4000) != 202) {
            throw new Rig.CannotRun("the batch job was not accepted");
        }
        double accepted = rig.now();
        Rig.sleep(4);
        String first = null;
        for (Rig.Node node : rig.nodes) {
            Rig.Answer read = rig.results(node, job, 0);
            rig.note("%s: GET %s: %d, %d bytes", node.name, job, read.status, read.body.length);
            first = first == null ? read.text() : first;
            if (read.status != 200 || !read.text().contains("\"NextToken\":10")) {
                throw new Rig.CannotRun("not all results were listed before the change");
            }
        }
        if (trouble) {
            rig.configure(4, 1_700_000, false);
            rig.note("the operator's version 4 without the batch route is acknowledged");
        }
        Rig.sleep(CONFIGURATION_S + 4);
        int lost = 0;
        for (int round = 0; round < 5; round++) {
            for (Rig.Node node : rig.nodes) {
                Rig.Answer read = rig.results(node, job, 0);
                Rig.Answer stream = rig.call(node, "POST", Rig.STREAM_PREFIX + "2f",
                        Map.of("Host", Rig.STREAM_HOST, "Request-Id", Rig.newJobId(), "Request-Deadline", "5000"),
                        new byte[100], 6000);
                boolean same = read.status == 200 && read.text().equals(first);
                rig.note("%s: GET %s %.1f s after the 202: %d %s; a stream: %d", node.name, job, rig.now() - accepted,
                        read.status, same ? "the same results" : read.text().trim(), stream.status);
                lost += read.status == 404 || read.status == 410 ? 1 : 0;
            }
            Rig.sleep(2);
        }
        rig.note("answers 404 or 410 for the batch job: %d", lost);
        return lost == 0;
    }
}
