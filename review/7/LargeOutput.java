import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A batch job whose outputs are above the store's limit on records, but below that on an answer with results, runs
 * beside a job of usual size. Judges LOST: each item of an open job is listed once the engines have been idle.
 */
final class LargeOutput {
    private static final int NODES = 3;
    private static final int ENGINES = 3;
    private static final int LONG_ITEMS = 24;
    private static final int SHORT_ITEMS = 10;
    /** Bound of the settings: time after the traffic within which jobs end. */
    private static final double FINISH_SECONDS = 18;
    /** Time before the judgement in which no engine may have had an item that is not listed. */
    private static final double CALM_SECONDS = 5;
    /** Tokens of an event, as the engines of the sites produce them. */
    private static final int STRIDE = 7;
    private static final int SHORT_EVENTS = 172;
    /** 32,000 tokens and 297,000 bytes: an output of 2.3 times as many tokens fills a whole answer of 1 MB. */
    private static final int LONG_EVENTS = 4572;
    private static final String PATH = "/pule252/";

    private LargeOutput() {}

    public static void main(String[] arguments) {
        Fleet.run(arguments, LargeOutput::broken);
    }

    private static boolean broken(Fleet fleet, boolean trouble) throws Exception {
        Engine.Script script = new Engine.Script() {
            @Override
            public int events(String request) {
                return trouble && request.startsWith("10") ? LONG_EVENTS : SHORT_EVENTS;
            }

            @Override
            public String data(String request, int event) {
                return (request + "." + event + ".").concat("x".repeat(65)).substring(0, 65);
            }

            @Override
            public long intervalMs(String request) {
                return 1;
            }
        };
        fleet.configure(configuration());
        for (int i = 1; i <= ENGINES; i++) {
            fleet.engines.add(new Engine("i-" + i, "huvo11a", fleet.store, fleet.report, script));
        }
        fleet.startNodes(NODES);
        String longJob = "1000000000000001";
        String shortJob = "2000000000000002";
        boolean accepted = fleet.submitUntilAccepted(longJob, PATH, items("10", LONG_ITEMS, trouble ? LONG_EVENTS : SHORT_EVENTS));
        Threads.sleep(500);
        accepted &= fleet.submitUntilAccepted(shortJob, PATH, items("20", SHORT_ITEMS, SHORT_EVENTS));
        double trafficEnd = fleet.report.seconds();
        if (!accepted) {
            fleet.report.line("a job was not accepted, so that nothing is lost");
        }
        while (fleet.report.seconds() < trafficEnd + FINISH_SECONDS
                || fleet.engines.stream().anyMatch(engine -> engine.idleSeconds() < CALM_SECONDS)) {
            Threads.sleep(100);
            if (fleet.report.seconds() > trafficEnd + FINISH_SECONDS + 20) {
                throw new IllegalStateException("the engines are not idle");
            }
        }
        int missing = missing(fleet, longJob, items("10", LONG_ITEMS, 0));
        missing += missing(fleet, shortJob, items("20", SHORT_ITEMS, 0));
        fleet.report.line("the store refused " + fleet.store.oversizedRecords() + " appends above its limit on records");
        return missing > 0;
    }

    private static List<Fleet.Item> items(String prefix, int count, int events) {
        List<Fleet.Item> items = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String id = prefix + String.format("%014x", i + 1);
            items.add(new Fleet.Item(id, "540," + events * STRIDE, 540 + events * STRIDE));
        }
        return items;
    }

    /** Returns the number of items that are listed neither as completed nor as dead-lettered. */
    private static int missing(Fleet fleet, String job, List<Fleet.Item> items) {
        if (fleet.readJob(fleet.nodes.get(0), job, 0).status() == 404) {
            fleet.report.line("job " + job + " was not accepted");
            return 0;
        }
        Set<String> listed = new HashSet<>();
        fleet.allResults(job).forEach(result -> listed.add(result.id()));
        int missing = (int) items.stream().filter(item -> !listed.contains(item.id())).count();
        fleet.report.line("job " + job + ": " + listed.size() + " of " + items.size() + " items are listed, and no engine"
                + " has run any for " + (int) CALM_SECONDS + " s");
        return missing;
    }

    private static String configuration() {
        return "{\"Version\":1,\"Routes\":[{\"Name\":\"r-batch\",\"Host\":\"" + Fleet.HOST + "\",\"PathPrefix\":\""
                + PATH + "\",\"Kind\":\"batch\",\"TimeoutMs\":15000,\"TargetLatencyMs\":400,\"Priority\":2,"
                + "\"Service\":\"huvo11a\",\"Attempts\":3,\"Sticky\":true,\"CompletionTargetMs\":18000,"
                + "\"RetentionS\":60,\"MaxCount\":2500000}],\"Services\":[{\"Name\":\"huvo11a\","
                + "\"HealthPath\":\"/health\",\"ConnectionLimit\":210,\"Protocol\":\"h1\",\"Tls\":false,"
                + "\"Engine\":{\"Slots\":8,\"KvCacheTokens\":147261,\"Stride\":7}}],\"Limits\":{\"HeaderBytes\":16384,"
                + "\"BodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";
    }
}
