import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * A resumable route is split over two services, of which the second serves a newer version. A node is killed while
 * streams are open, and their clients take them up again at another node with {@code Last-Event-Id}. A stream that ends
 * as complete must not be joined from the texts of both.
 */
final class JoinedServices {
    private static final int STREAMS = 16;
    private static final int EVENTS = 60;

    private JoinedServices() {}

    public static void main(String[] args) throws Exception {
        Case.run(args, false, (store, fleet, record, trouble) -> {
            store.put(
                    "keyed.op",
                    "config",
                    new Config()
                            .engines("gatemind")
                            .engines("gatemind-next")
                            .route(
                                    "part-lookup",
                                    "ficu95.example",
                                    "/lookup/",
                                    "streaming",
                                    "\"TrafficSplit\":[{\"Service\":\"gatemind\",\"Weight\":50},"
                                            + "{\"Service\":\"gatemind-next\",\"Weight\":50}]")
                            .version(7));
            List<Engine> engines = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                engines.add(new Engine("i-a" + i, "gatemind", "v1", store, record, 8, 30));
                engines.add(new Engine("i-b" + i, "gatemind-next", "v2", store, record, 8, 30));
            }
            fleet.startAll(4);
            // Streams are resumed by clients only while the fleet has been up for longer than a stream lasts.
            Thread.sleep(20_000);
            List<Http.Stream> streams = new ArrayList<>();
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < STREAMS; i++) {
                Http.Stream stream = new Http.Stream();
                streams.add(stream);
                Thread client = new Thread(() -> receive(fleet, stream, record, streams.indexOf(stream)));
                clients.add(client);
                client.start();
            }
            Thread.sleep(900);
            if (trouble) {
                fleet.nodes.get(0).signal("KILL");
            }
            for (Thread client : clients) {
                client.join();
            }
            int joined = 0;
            int complete = 0;
            for (Http.Stream stream : streams) {
                Set<String> origins = new LinkedHashSet<>();
                stream.data.forEach(data -> origins.add(data.substring(0, data.lastIndexOf('-'))));
                complete += stream.complete ? 1 : 0;
                joined += stream.complete && origins.size() > 1 ? 1 : 0;
                record.line("stream " + streams.indexOf(stream) + " complete=" + stream.complete + " events="
                        + stream.data.size() + " from " + origins);
            }
            record.line(complete + " complete streams, " + joined + " of them joined from two versions");
            for (Engine engine : engines) {
                engine.close();
            }
            if (complete == 0) {
                throw new IllegalStateException("no stream was complete");
            }
            return joined == 0;
        });
    }

    /** Receives a stream at the first node, and the rest of it at the second one after a broken connection. */
    private static void receive(Fleet fleet, Http.Stream stream, Record record, int number) {
        String headers = "Host: ficu95.example\r\nModel: m\r\nToken-Counts: 10," + EVENTS
                + "\r\nPrompt-Prefix: 5d07b8:10,9c" + number + ":5\r\nRequest-Deadline: 5000\r\n";
        for (int attempt = 0; attempt < 2 && !stream.complete; attempt++) {
            Fleet.Node node = fleet.nodes.get(attempt);
            String id = "9c41d0" + number + "a" + attempt;
            String resumed = stream.lastId == 0 ? "" : "Last-Event-Id: " + stream.lastId + "\r\n";
            record.line("stream " + number + " sent to " + node.name + " as " + id + " " + resumed.trim());
            Http.stream(
                    new InetSocketAddress(node.ip, node.front),
                    "/lookup/2f",
                    headers + "Request-Id: " + id + "\r\n" + resumed,
                    3000,
                    stream);
            record.line("stream " + number + " answered " + stream.status + " up to event " + stream.lastId
                    + (stream.complete ? ", complete" : ""));
        }
    }
}
