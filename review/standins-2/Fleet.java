import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The store, engines and serving processes of a case, and the calls of its clients and its operator.
 *
 * <p>A case returns whether the rule was broken; {@link #run} turns that into the exit code of the process.
 * Thread-safe.
 */
final class Fleet implements AutoCloseable {
    static final String HOST = "ficu95.example";
    /** How long the fleet is left alone after its start, so that the nodes agree on a scheduler. */
    private static final long SETTLE_MS = 4000;
    /** Exit codes, which review/standins-2/run-case maps; a process that fails to start exits with 1. */
    private static final int HELD = 10;
    private static final int BROKEN = 11;
    private static final int NOT_RUN = 12;
    private static final Pattern RESULT =
            Pattern.compile("\\{\"Id\":\"([^\"]*)\",\"State\":\"([^\"]*)\",\"Output\":\"((?:[^\"\\\\]|\\\\.)*+)\"\\}");
    final Report report;
    final Store store;
    final List<Engine> engines = new ArrayList<>();
    final List<Node> nodes = new ArrayList<>();
    private final Path directory;
    private final Path root;

    /** A case of the review. */
    interface Case {
        boolean broken(Fleet fleet, boolean trouble) throws Exception;
    }

    /** An item of a batch job. */
    record Item(String id, String tokenCounts, int tokens) {}

    /** A result as a client reads it; the output keeps its JSON escapes. */
    record Result(String id, String state, String output) {}

    private Fleet(Path root, Path record) throws IOException {
        this.root = root;
        this.directory = Files.createTempDirectory("review-2");
        this.report = new Report(record);
        this.store = new Store(report);
    }

    /** Runs a case and ends the process with the exit code of its script. Arguments: repository, record file. */
    static void run(String[] arguments, Case test) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = NOT_RUN;
        try (Fleet fleet = new Fleet(Path.of(arguments[0]), Path.of(arguments[1]))) {
            Thread ending = new Thread(fleet::endProcesses);
            Runtime.getRuntime().addShutdownHook(ending);
            fleet.report.line("the case runs " + (trouble ? "with" : "without") + " the disruption");
            boolean broken = test.broken(fleet, trouble);
            fleet.report.line(broken ? "RULE BROKEN" : "the rule held");
            code = broken ? BROKEN : HELD;
        } catch (Exception | Error e) {
            System.err.println("the case could not run: " + e);
            e.printStackTrace();
        }
        System.out.println(code == BROKEN ? "rule broken" : code == HELD ? "rule held" : "not run");
        System.exit(code);
    }

    private void endProcesses() {
        nodes.forEach(Node::close);
    }

    /** Writes a configuration as the operator does; the answer of the store is the acknowledgement. */
    void configure(String json) {
        store.put("keyed.op", "config", json.getBytes(StandardCharsets.UTF_8));
        report.line("operator: the store acknowledged " + json);
    }

    /** Starts serving processes and waits until they are ready and have found each other. */
    void startNodes(int count) throws IOException {
        Random random = new Random();
        String prefix = "127." + (10 + random.nextInt(200)) + "." + random.nextInt(250) + ".";
        for (int i = 1; i <= count; i++) {
            Node node = new Node(root, directory, "front-" + i, prefix + (10 + i), store.address());
            nodes.add(node);
            node.start();
            if (i == 1) {
                // The node that started first is the scheduler of all.
                node.awaitReady();
            }
        }
        nodes.forEach(Node::awaitReady);
        Threads.sleep(SETTLE_MS);
        report.line(count + " serving processes are ready");
    }

    /** Sends a batch job to a node and returns the status of the answer. */
    int submit(Node node, String job, String path, List<Item> items) {
        StringBuilder json = new StringBuilder("{\"Items\":[");
        for (Item item : items) {
            json.append(json.charAt(json.length() - 1) == '[' ? "" : ",")
                    .append("{\"Id\":\"")
                    .append(item.id())
                    .append("\",\"Path\":\"")
                    .append(path)
                    .append(item.id())
                    .append("\",\"Headers\":{\"Model\":\"m\",\"Token-Counts\":\"")
                    .append(item.tokenCounts())
                    .append("\"},\"Body\":\"")
                    .append(Base64.getEncoder().encodeToString(("prompt of " + item.id()).getBytes(StandardCharsets.UTF_8)))
                    .append("\",\"Tokens\":")
                    .append(item.tokens())
                    .append("}");
        }
        json.append("]}");
        Http.Answer answer = Http.call(
                node.callers(),
                "POST",
                path + job,
                List.of("Host: " + HOST, "Request-Id: " + job, "Content-Type: application/json"),
                json.toString().getBytes(StandardCharsets.UTF_8),
                5000);
        report.line("client: job " + job + " of " + items.size() + " items sent to " + node.name() + " is answered "
                + answer.status());
        return answer.status();
    }

    /** Sends a batch job until it is accepted, to one node after the other, as clients do. */
    boolean submitUntilAccepted(String job, String path, List<Item> items) {
        for (int attempt = 0; attempt < 5; attempt++) {
            if (submit(nodes.get(attempt % nodes.size()), job, path, items) == 202) {
                return true;
            }
            Threads.sleep(700);
        }
        return false;
    }

    Http.Answer readJob(Node node, String job, int after) {
        return Http.call(
                node.callers(), "GET", "/v1/lots/" + job + "?After=" + after, List.of("Host: " + HOST), new byte[0], 5000);
    }

    /** Returns the results in an answer to {@link #readJob}. */
    static List<Result> results(Http.Answer answer) {
        List<Result> results = new ArrayList<>();
        Matcher matcher = RESULT.matcher(answer.text());
        while (matcher.find()) {
            results.add(new Result(matcher.group(1), matcher.group(2), matcher.group(3)));
        }
        return results;
    }

    /** Reads all results of a job, over all nodes, as a client that starts from position 0. */
    List<Result> allResults(String job) {
        List<Result> results = new ArrayList<>();
        for (int misses = 0, node = 0; misses < nodes.size(); node++) {
            Http.Answer answer = readJob(nodes.get(node % nodes.size()), job, results.size());
            List<Result> more = answer.status() == 200 ? results(answer) : List.of();
            results.addAll(more);
            misses = more.isEmpty() ? misses + 1 : 0;
        }
        return results;
    }

    @Override
    public void close() throws IOException {
        endProcesses();
        for (Engine engine : engines) {
            engine.close();
        }
        store.close();
        report.close();
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }
}
