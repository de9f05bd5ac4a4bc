import java.nio.file.Path;

/** The operator removes a batch route while most items of a batch job wait; its host keeps another route. */
public final class OpenItems {
    static final int ITEMS = 200;
    static final double FINISH_S = 18;

    public static void main(String[] args) throws Exception {
        Rig.main(Path.of(args[0]), OpenItems::holds);
    }

    static boolean holds(Rig rig, boolean trouble) throws Exception {
        rig.configure(1, 2_500_000, true, true);
        for (int i = 0; i < 3; i++) {
            rig.addEngine("i-" + i, 8, 40, 0.025, "");
        }
        rig.startNodes(3);
        String job = Rig.newJobId();
        if (rig.submit(rig.nodes.get(0), job, Rig.jobBody(job, ITEMS, 940, 600), 4000) != 202) {
            throw new Rig.CannotRun("the batch job was not accepted");
        }
        double ended = rig.now();
        Rig.sleep(3);
        if (trouble) {
            rig.configure(4, 2_500_000, false, true);
            rig.note("the operator's version 4 without the batch route is acknowledged");
        }
        rig.sleepUntil(ended + FINISH_S + 7);
        double lastEnd = rig.runs().stream().mapToDouble(run -> run.ended).max().orElse(0);
        long running = rig.runs().stream().filter(run -> run.end.equals("running")).count();
        int leastListed = ITEMS;
        for (Rig.Node node : rig.nodes) {
            int listed = 0;
            Rig.Answer read = rig.results(node, job, 0);
            while (read.status == 200 && !read.text().contains("\"NextToken\":" + listed + ",")) {
                listed = Integer.parseInt(read.text().replaceAll("(?s).*\"NextToken\":(\\d+).*", "$1"));
                read = rig.results(node, job, listed);
            }
            rig.note("%s: GET %s: %d, %d of %d items are listed", node.name, job, read.status, listed, ITEMS);
            leastListed = Math.min(leastListed, listed);
        }
        rig.note("%.1f s after the end of traffic: engines have %d runs, the last ended %.1f s ago",
                rig.now() - ended, running, rig.now() - lastEnd);
        if (leastListed < ITEMS && (running > 0 || rig.now() - lastEnd < 5)) {
            throw new Rig.CannotRun("engines were still at work");
        }
        return leastListed == ITEMS;
    }
}
