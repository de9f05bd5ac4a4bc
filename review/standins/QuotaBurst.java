import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;

/** Many batch jobs come at once, at all nodes; together they are larger than the route's MaxCount. */
public final class QuotaBurst {
    static final long MAX_COUNT = 2_500_000;
    static final int JOBS = 18;
    static final int ITEMS = 200;
    static final int TOKENS = 1_400;

    public static void main(String[] args) throws Exception {
        Rig.main(Path.of(args[0]), QuotaBurst::holds);
    }

    static boolean holds(Rig rig, boolean trouble) throws Exception {
        rig.configure(1, MAX_COUNT);
        for (int i = 0; i < 3; i++) {
            rig.addEngine("i-" + i, 8, 50, 0.1, "");
        }
        rig.startNodes(3);
        List<Future<Integer>> answers = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            Rig.Node node = rig.nodes.get(i % rig.nodes.size());
            String job = Rig.newJobId();
            byte[] body = Rig.jobBody(job, ITEMS, TOKENS, 60);
            answers.add(rig.pool.submit(() -> rig.submit(node, job, body, 4500)));
            if (!trouble) {
                answers.get(i).get();
                Rig.sleep(1.5);
            } else {
                Rig.sleep(0.002);
            }
        }
        int accepted = 0;
        for (Future<Integer> answer : answers) {
            accepted += answer.get() == 202 ? 1 : 0;
        }
        long finished = rig.runs().stream().filter(run -> run.end.equals("complete")).count();
        long waiting = (long) accepted * ITEMS * TOKENS - finished * TOKENS;
        rig.note("accepted: %d batch jobs; finished by engines: %d items; tokens that wait: %d; allowed: %d",
                accepted, finished, waiting, (long) (MAX_COUNT * 1.1));
        return waiting <= MAX_COUNT * 1.1;
    }
}
