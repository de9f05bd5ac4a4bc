import java.util.List;

/**
 * Machines are replaced: new ones are added, and then all older ones lose power for good, without SIGTERM. A batch job
 * that a new machine accepts afterwards must be done.
 */
final class LostFleet {
    private static final int OLD = Integer.getInteger("old", 30);
    private static final int NEW = 20;
    private static final int ITEMS = 4;
    /** RecoveryS of the sheet, after which the fleet counts as recovered, and FinishS, in which the batch job is due. */
    private static final long RECOVERY_MS = Long.getLong("recovery", 15_000);
    private static final long FINISH_MS = Long.getLong("finish", 18_000);

    private LostFleet() {}

    public static void main(String[] args) throws Exception {
        Case.run(args, false, (store, fleet, record, trouble) -> {
            store.put(
                    "keyed.op",
                    "config",
                    new Config()
                            .engines("gatemind")
                            .route("report", "ficu95.example", "/report/", "batch", "\"Service\":\"gatemind\"")
                            .version(7));
            try (Engine first = new Engine("i-1", "gatemind", store, record, 8, 10);
                    Engine second = new Engine("i-2", "gatemind", store, record, 8, 10)) {
                List<Fleet.Node> old = fleet.start(OLD);
                List<Fleet.Node> added = fleet.start(NEW);
                Thread.sleep(5000);
                // Before: a batch job is done.
                if (!done(added, "before", 15_000)) {
                    throw new IllegalStateException("the batch job before the loss was not done");
                }
                if (trouble) {
                    for (Fleet.Node node : old) {
                        node.powerOff();
                    }
                }
                Thread.sleep(RECOVERY_MS);
                boolean held = done(added, "after", FINISH_MS);
                record.line(held ? "the batch job was done" : "the batch job was accepted and not done in FinishS");
                return held;
            }
        });
    }

    /** Submits a batch job and returns whether all of its items are listed in a time. */
    private static boolean done(List<Fleet.Node> nodes, String id, long limitMs) throws InterruptedException {
        String body = Fleet.job(id, "/report/3/1", ITEMS, 20, 30);
        int status = 0;
        for (int i = 0; i < 3 && status != 202; i++) {
            status = nodes.get(i)
                    .call("POST", "/report/1", "Request-Id: lot-" + id + "\r\n", body, 5000)
                    .status();
        }
        if (status != 202) {
            throw new IllegalStateException("the batch job was not accepted");
        }
        long until = System.nanoTime() + limitMs * 1_000_000L;
        for (int i = 0; System.nanoTime() < until; i++) {
            Http.Message read =
                    nodes.get(i % nodes.size()).call("GET", "/v1/lots/lot-" + id + "?After=0", "", "", 3000);
            if (read.text().contains("\"NextToken\":" + ITEMS + ",")) {
                return true;
            }
            Thread.sleep(500);
        }
        return false;
    }
}
