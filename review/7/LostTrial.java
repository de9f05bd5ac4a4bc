import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/**
 * The engine of a service is cut off for some seconds, and the process that has sent the first request to it afterwards
 * is killed. Judges LOST: the items of a job that is accepted afterwards are listed neither as completed nor as
 * dead-lettered, while the engine is reached, registered and idle. Records how the streams of clients fare meanwhile.
 */
final class LostTrial {
    private static final int NODES = 3;
    private static final long CUT_MS = 5000;
    private static final long FIRST_REQUEST_MS = 10_000;
    private static final int STREAM_EVENTS = 30;
    private static final long STREAM_INTERVAL_MS = 40;
    private static final long BETWEEN_STREAMS_MS = 300;
    private static final int DEADLINE_MS = 5000;
    private static final int ITEMS = 10;
    private static final int ITEM_EVENTS = 172;
    private static final long ITEM_INTERVAL_MS = 15;
    private static final long SETTLE_WINDOW_MS = 3000;
    private static final double FINISH_SECONDS = 18;
    private static final double CALM_SECONDS = 5;
    private static final String STREAM_PATH = "/pufi791/";
    private static final String BATCH_PATH = "/pule252/";
    private static final String SERVICE = "huvo11a";
    private final Fleet fleet;
    /** Number of the node whose request was the first to run since the engine was reached again. */
    private final AtomicReference<String> firstNode = new AtomicReference<>("");
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private volatile boolean traffic = true;

    private LostTrial(Fleet fleet) {
        this.fleet = fleet;
    }

    public static void main(String[] arguments) {
        Fleet.run(arguments, (fleet, trouble) -> new LostTrial(fleet).broken(trouble));
    }

    private boolean broken(boolean trouble) throws Exception {
        Engine.Script script = new Engine.Script() {
            @Override
            public int events(String request) {
                return request.startsWith("s") ? STREAM_EVENTS : ITEM_EVENTS;
            }

            @Override
            public String data(String request, int event) {
                return request + "." + event;
            }

            @Override
            public long intervalMs(String request) {
                return request.startsWith("s") ? STREAM_INTERVAL_MS : ITEM_INTERVAL_MS;
            }

            @Override
            public void began(String engine, String service, String request) {
                firstNode.compareAndSet("", request.split("-")[1]);
            }
        };
        fleet.configure(configuration());
        fleet.engines.add(new Engine("i-1", SERVICE, fleet.store, fleet.report, script));
        fleet.startNodes(NODES);
        Threads.start(this::sendStreams);
        Threads.sleep(2000);
        if (trouble) {
            cutAndKill(fleet.engines.get(0));
        }
        served.set(0);
        refused.set(0);
        Threads.sleep(SETTLE_WINDOW_MS);
        fleet.report.line("streams in the last " + SETTLE_WINDOW_MS + " ms: " + served + " served, " + refused + " refused");
        String job = "1000000000000001";
        List<Fleet.Item> items = new ArrayList<>();
        for (int i = 1; i <= ITEMS; i++) {
            items.add(new Fleet.Item("1-0-" + String.format("%012x", i), "540,1204", 1744));
        }
        if (!fleet.submitUntilAccepted(job, BATCH_PATH, items)) {
            throw new IllegalStateException("the job was not accepted");
        }
        served.set(0);
        refused.set(0);
        Threads.sleep(4000);
        fleet.report.line("streams in the last 4 s: " + served + " served, " + refused + " refused");
        traffic = false;
        Threads.sleep((long) (FINISH_SECONDS * 1000));
        int listed = fleet.allResults(job).size();
        double idle = fleet.engines.get(0).idleSeconds();
        fleet.report.line("job " + job + ": " + listed + " of " + ITEMS + " items are listed; the engine has run no request for "
                + (int) idle + " s");
        return listed < ITEMS && idle > CALM_SECONDS;
    }

    private void cutAndKill(Engine engine) throws IOException {
        engine.cut(true);
        Threads.sleep(CUT_MS);
        firstNode.set("");
        engine.cut(false);
        long end = System.nanoTime() + FIRST_REQUEST_MS * 1_000_000;
        while (firstNode.get().isEmpty()) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException("no request was sent to the engine");
            }
            Threads.sleep(5);
        }
        Node node = fleet.nodes.get(Integer.parseInt(firstNode.get()));
        fleet.report.line("the process of " + node.name() + " is killed");
        node.killAndRestart();
        fleet.report.line(node.name() + " is ready again");
    }

    /** Sends streams to all nodes but the first one. */
    private void sendStreams() {
        for (int i = 0; traffic; i++) {
            int node = 1 + i % (NODES - 1);
            String id = "s-" + node + "-" + i;
            int status = stream(fleet.nodes.get(node), id);
            (status == 200 ? served : refused).incrementAndGet();
            Threads.sleep(BETWEEN_STREAMS_MS);
        }
    }

    private int stream(Node node, String id) {
        String request = "POST " + STREAM_PATH + "2f HTTP/1.1\r\nHost: " + Fleet.HOST + "\r\nRequest-Id: " + id
                + "\r\nModel: m\r\nToken-Counts: 350,210\r\nPrompt-Prefix: 5c1e07a2:100,e4402b7d:250\r\nRequest-Deadline: "
                + DEADLINE_MS + "\r\nContent-Length: 2\r\n\r\n{}";
        try (Socket socket = new Socket()) {
            socket.connect(node.callers(), 1000);
            socket.setSoTimeout(DEADLINE_MS + 1500);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Head head = Http.readHead(in);
            Http.readBody(in, head, false);
            return Integer.parseInt(head.startLine().split(" ")[1]);
        } catch (IOException e) {
            return 0;
        }
    }

    private static String configuration() {
        return "{\"Version\":1,\"Routes\":[{\"Name\":\"r-batch\",\"Host\":\"" + Fleet.HOST + "\",\"PathPrefix\":\""
                + BATCH_PATH + "\",\"Kind\":\"batch\",\"TimeoutMs\":15000,\"TargetLatencyMs\":400,\"Priority\":2,"
                + "\"Service\":\"" + SERVICE + "\",\"Attempts\":3,\"Sticky\":true,\"CompletionTargetMs\":18000,"
                + "\"RetentionS\":60,\"MaxCount\":2500000},{\"Name\":\"r-stream\",\"Host\":\"" + Fleet.HOST
                + "\",\"PathPrefix\":\"" + STREAM_PATH + "\",\"Kind\":\"streaming\",\"TimeoutMs\":" + DEADLINE_MS
                + ",\"TargetLatencyMs\":300,\"Priority\":0,\"Service\":\"" + SERVICE + "\",\"Attempts\":2,"
                + "\"Sticky\":true,\"Resumable\":true,\"GapAimMs\":400}],\"Services\":[{\"Name\":\"" + SERVICE
                + "\",\"HealthPath\":\"/health\",\"ConnectionLimit\":210,\"Protocol\":\"h1\",\"Tls\":false,"
                + "\"Engine\":{\"Slots\":8,\"KvCacheTokens\":147261,\"Stride\":7}}],\"Limits\":{\"HeaderBytes\":16384,"
                + "\"BodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";
    }
}
