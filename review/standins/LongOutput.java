import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** One batch job in twenty takes 5 times as long as the others; its outputs are over RecordBytes and under 1 MB. */
public final class LongOutput {
    static final int JOBS = 20;
    static final int ITEMS = 10;
    static final int EVENTS = 172;
    static final int PIECE_BYTES = 360;
    static final int LONGER = 5;
    static final double FINISH_S = 18;

    public static void main(String[] args) throws Exception {
        Rig.main(Path.of(args[0]), LongOutput::holds);
    }

    static boolean holds(Rig rig, boolean trouble) throws Exception {
        rig.configure(1, 2_500_000);
        for (int i = 0; i < 5; i++) {
            rig.addEngine("i-" + i, 8, 0, 0.025, " " + "x".repeat(PIECE_BYTES));
        }
        rig.startNodes(3);
        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            String job = Rig.newJobId();
            boolean longer = trouble && i == 0;
            int output = EVENTS * (longer ? LONGER : 1) * Rig.TOKENS_PER_EVENT;
            byte[] body = Rig.jobBody(job, ITEMS, output * 5 / 3, 600);
            if (rig.submit(rig.nodes.get(i % 3), job, body, 4000) != 202) {
                throw new Rig.CannotRun("a batch job was not accepted");
            }
            jobs.add(job);
            Rig.sleep(0.3);
        }
        double ended = rig.now();
        rig.note("the traffic has ended");
        rig.sleepUntil(ended + FINISH_S + 14);
        double lastEnd = 0;
        int unlisted = 0;
        for (String job : jobs) {
            long completed = rig.runs().stream()
                    .filter(run -> run.id.startsWith(job) && run.end.equals("complete"))
                    .map(run -> run.id)
                    .distinct()
                    .count();
            double end = rig.runs().stream()
                    .filter(run -> run.id.startsWith(job))
                    .mapToDouble(run -> run.ended)
                    .max()
                    .orElse(0);
            lastEnd = Math.max(lastEnd, end);
            String text = rig.results(rig.nodes.get(0), job, 0).text();
            int listed = Integer.parseInt(text.replaceAll("(?s).*\"NextToken\":(\\d+).*", "$1"));
            rig.note("batch job %s: %d items, %d listed, %d that engines have completed, last run ended at %.3f",
                    job, ITEMS, listed, completed, end);
            unlisted += ITEMS - listed;
        }
        long running = rig.runs().stream().filter(run -> run.end.equals("running")).count();
        rig.note("%.1f s after the end of traffic: %d items are not listed; engines have %d runs, the last ended %.1f s ago",
                rig.now() - ended, unlisted, running, rig.now() - lastEnd);
        if (unlisted > 0 && (running > 0 || rig.now() - lastEnd < 5)) {
            throw new Rig.CannotRun("engines were still at work");
        }
        return unlisted == 0;
    }
}
