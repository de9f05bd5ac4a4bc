import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * A node freezes while it receives a batch job. Its client gives up, asks another node to end the batch job and gets
 * the acknowledgement. The frozen node wakes up.
 */
public final class LateSubmission {
    static final double CANCEL_S = 3.0;
    static final double SETTLE_S = 3.0;
    static final double FREEZE_S = 3.8;

    public static void main(String[] args) throws Exception {
        Rig.main(Path.of(args[0]), LateSubmission::holds);
    }

    static boolean holds(Rig rig, boolean trouble) throws Exception {
        rig.configure(1, 1_700_000);
        for (int i = 0; i < 3; i++) {
            rig.addEngine("i-" + i, 8, 40, 0.05, "");
        }
        rig.startNodes(3);
        Rig.Node first = rig.nodes.get(2);
        Rig.Node other = rig.nodes.get(0);
        String job = Rig.newJobId();
        byte[] body = Rig.jobBody(job, 120, 940, 600);
        if (trouble) {
            first.signal("STOP");
            Rig.sleep(0.1);
        }
        double frozen = rig.now();
        int submitted = rig.submit(first, job, body, 1500);
        Rig.Answer end = rig.call(other, "DELETE", "/v1/lots/" + job, Map.of(), new byte[0], 4000);
        double acknowledged = rig.now();
        rig.note("%s: DELETE %s: %d %s", other.name, job, end.status, end.text().trim());
        if (end.status != 200) {
            throw new Rig.CannotRun("the end was not acknowledged");
        }
        if (trouble) {
            rig.sleepUntil(frozen + FREEZE_S);
            first.signal("CONT");
        }
        // From then on, every machine has run without a disruption for SettleWindowMs.
        double inTouch = Math.max(acknowledged + CANCEL_S, rig.now() + SETTLE_S + 0.2);
        rig.sleepUntil(acknowledged + 18);
        List<Rig.Run> late = rig.runs().stream()
                .filter(run -> run.id.startsWith(job) && run.began > inTouch)
                .toList();
        late.stream()
                .limit(10)
                .forEach(run -> rig.note("item %s reached an engine at %.3f, %.3f s after the acknowledgement",
                        run.id, run.began, run.began - acknowledged));
        for (Rig.Node node : rig.nodes) {
            Rig.Answer read = rig.results(node, job, 0);
            rig.note("%s: GET %s: %d %s", node.name, job, read.status,
                    read.text().substring(0, Math.min(60, read.text().length())));
        }
        rig.note("submitted: %d; items that reached an engine over %.1f s after the acknowledgement, all machines in touch:"
                + " %d", submitted, inTouch - acknowledged, late.size());
        return late.isEmpty();
    }
}
