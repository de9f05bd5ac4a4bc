/**
 * The operator moves a batch route from one service to another by its weights: 100 and 0. Batch jobs that are submitted
 * later than {@code ConfigurationMs} after the acknowledgement must not run at the service with weight 0.
 */
final class ZeroWeight {
    private static final int ITEMS = 12;
    /** ConfigurationMs of the sheet gatewright-line, and a second more. */
    private static final long CONFIGURATION_MS = 3500;

    private ZeroWeight() {}

    private static Config config(String service) {
        return new Config()
                .engines("gatemind")
                .engines("gatemind-next")
                .route("report", "ficu95.example", "/report/", "batch", service);
    }

    public static void main(String[] args) throws Exception {
        Case.run(args, false, (store, fleet, record, trouble) -> {
            store.put("keyed.op", "config", config("\"Service\":\"gatemind-next\"").version(7));
            try (Engine first = new Engine("i-1", "gatemind", store, record, 8, 10);
                    Engine second = new Engine("i-2", "gatemind-next", store, record, 8, 10)) {
                fleet.startAll(2);
                String moved = trouble
                        ? "\"TrafficSplit\":[{\"Service\":\"gatemind\",\"Weight\":100},"
                                + "{\"Service\":\"gatemind-next\",\"Weight\":0}]"
                        : "\"Service\":\"gatemind\"";
                record.line("operator: version 12 with " + moved);
                store.put("keyed.op", "config", config(moved).version(12));
                Thread.sleep(CONFIGURATION_MS);
                Fleet.Node node = fleet.nodes.get(0);
                for (int job = 0; job < 3; job++) {
                    String id = "7c41e0" + job;
                    String body = Fleet.job("item" + job, "/report/3/1", ITEMS, 20, 30);
                    if (node.call("POST", "/report/1", "Request-Id: " + id + "\r\n", body, 4000)
                                    .status()
                            != 202) {
                        throw new IllegalStateException("the batch job was not accepted");
                    }
                    Thread.sleep(1500);
                }
                Thread.sleep(3000);
                long old = record.lines().stream()
                        .filter(line -> line.startsWith("run service=gatemind-next "))
                        .count();
                long now = record.lines().stream()
                        .filter(line -> line.startsWith("run service=gatemind "))
                        .count();
                record.line(now + " runs at the service with all traffic, " + old + " at the one that gets none");
                if (now + old < ITEMS) {
                    throw new IllegalStateException("the items did not run");
                }
                return old == 0;
            }
        });
    }
}
