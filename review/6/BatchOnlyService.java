import java.util.ArrayList;
import java.util.List;

/**
 * The engines of a service that only has a batch route are cut off for some seconds, a third of them at a time. Judges
 * LOST: items of a job that is accepted afterwards are listed neither as completed nor as dead-lettered, while all
 * engines are reached, registered and idle.
 */
final class BatchOnlyService {
    private static final int NODES = 3;
    private static final int ENGINES = 6;
    private static final int CUT_AT_ONCE = 2;
    private static final long CUT_MS = 4000;
    private static final long BETWEEN_CUTS_MS = 2000;
    private static final int LARGE_JOB_ITEMS = 200;
    private static final int SMALL_JOB_ITEMS = 10;
    private static final int EVENTS = 172;
    private static final long EVENT_INTERVAL_MS = 15;
    /** Time without a disruption after which machines are in touch. */
    private static final long SETTLE_WINDOW_MS = 3000;
    private static final double FINISH_SECONDS = 18;
    private static final double CALM_SECONDS = 5;
    private static final String PATH = "/pule252/";
    private static final String SERVICE = "huvo11a";

    private BatchOnlyService() {}

    public static void main(String[] arguments) {
        Fleet.run(arguments, BatchOnlyService::broken);
    }

    private static boolean broken(Fleet fleet, boolean trouble) throws Exception {
        Engine.Script script = new Engine.Script() {
            @Override
            public int events(String request) {
                return EVENTS;
            }

            @Override
            public String data(String request, int event) {
                return request + "." + event;
            }

            @Override
            public long intervalMs(String request) {
                return EVENT_INTERVAL_MS;
            }
        };
        fleet.configure(configuration());
        for (int i = 1; i <= ENGINES; i++) {
            fleet.engines.add(new Engine("i-" + i, SERVICE, fleet.store, fleet.report, script));
        }
        fleet.startNodes(NODES);
        String large = "1000000000000001";
        accept(fleet, large, "10", LARGE_JOB_ITEMS);
        Threads.sleep(1000);
        for (int i = 0; i < ENGINES; i += CUT_AT_ONCE) {
            cut(fleet.engines.subList(i, i + CUT_AT_ONCE), trouble);
        }
        Threads.sleep(SETTLE_WINDOW_MS);
        String small = "2000000000000002";
        accept(fleet, small, "20", SMALL_JOB_ITEMS);
        double trafficEnd = fleet.report.seconds();
        while (fleet.report.seconds() < trafficEnd + FINISH_SECONDS) {
            Threads.sleep(1000);
            fleet.report.line("requests at the engines: "
                    + fleet.engines.stream().mapToInt(Engine::running).sum());
        }
        double idle = fleet.engines.stream().mapToDouble(Engine::idleSeconds).min().orElse(0);
        int missing = missing(fleet, large, LARGE_JOB_ITEMS) + missing(fleet, small, SMALL_JOB_ITEMS);
        fleet.report.line("no engine has run an item for " + (int) idle + " s");
        return missing > 0 && idle > CALM_SECONDS;
    }

    private static void cut(List<Engine> engines, boolean trouble) {
        if (trouble) {
            engines.forEach(engine -> engine.cut(true));
        }
        Threads.sleep(CUT_MS);
        if (trouble) {
            engines.forEach(engine -> engine.cut(false));
        }
        Threads.sleep(BETWEEN_CUTS_MS);
    }

    private static void accept(Fleet fleet, String job, String prefix, int count) {
        List<Fleet.Item> items = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            items.add(new Fleet.Item(prefix + String.format("%014x", i), "540,1204", 1744));
        }
        if (!fleet.submitUntilAccepted(job, PATH, items)) {
            throw new IllegalStateException("job " + job + " was not accepted");
        }
    }

    private static int missing(Fleet fleet, String job, int items) {
        int listed = fleet.allResults(job).size();
        fleet.report.line("job " + job + ": " + listed + " of " + items + " items are listed");
        return items - listed;
    }

    private static String configuration() {
        return "{\"Version\":1,\"Routes\":[{\"Name\":\"r-batch\",\"Host\":\"" + Fleet.HOST + "\",\"PathPrefix\":\"" + PATH
                + "\",\"Kind\":\"batch\",\"TimeoutMs\":15000,\"TargetLatencyMs\":400,\"Priority\":2,\"Service\":\""
                + SERVICE + "\",\"Attempts\":3,\"Sticky\":true,\"CompletionTargetMs\":18000,\"RetentionS\":60,"
                + "\"MaxCount\":2500000}],\"Services\":[{\"Name\":\"" + SERVICE + "\",\"HealthPath\":\"/health\","
                + "\"ConnectionLimit\":210,\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{\"Slots\":8,"
                + "\"KvCacheTokens\":147261,\"Stride\":7}}],\"Limits\":{\"HeaderBytes\":16384,\"BodyBytes\":4194304,"
                + "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";
    }
}
