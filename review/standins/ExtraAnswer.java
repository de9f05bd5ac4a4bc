import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.Future;

/** Some engines send an additional answer after some of their answers to streams that may run once at most. */
public final class ExtraAnswer {
    static final int ENGINES = 5;
    static final int FAULTY = 3;
    static final int ANSWERS_PER_EXTRA = 34;
    static final double FAULT_S = 5.0;
    static final double PER_S = 40;

    public static void main(String[] args) throws Exception {
        Rig.main(Path.of(args[0]), ExtraAnswer::holds);
    }

    static boolean holds(Rig rig, boolean trouble) throws Exception {
        rig.configure(1, 0);
        AtomicInteger answers = new AtomicInteger();
        double[] faultFrom = {Double.MAX_VALUE};
        List<FaultyEngine> engines = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            boolean faulty = trouble && i < FAULTY;
            engines.add(new FaultyEngine(rig, "i-" + i, () -> faulty
                    && rig.now() > faultFrom[0]
                    && rig.now() < faultFrom[0] + FAULT_S
                    && answers.incrementAndGet() % ANSWERS_PER_EXTRA == 0));
        }
        rig.startNodes(3);
        faultFrom[0] = rig.now() + 1;
        List<Future<?>> clients = new ArrayList<>();
        Map<Integer, Integer> statuses = new TreeMap<>();
        int requests = (int) (PER_S * (FAULT_S + 4));
        for (int i = 0; i < requests; i++) {
            Rig.Node node = rig.nodes.get(i % rig.nodes.size());
            clients.add(rig.pool.submit(() -> {
                int status = request(rig, node);
                synchronized (statuses) {
                    statuses.merge(status, 1, Integer::sum);
                }
            }));
            Rig.sleep(1 / PER_S);
        }
        for (Future<?> client : clients) {
            client.get();
        }
        Map<String, List<String>> runs = new TreeMap<>();
        int extras = 0;
        for (FaultyEngine engine : engines) {
            extras += engine.extras;
            for (Rig.Run run : List.copyOf(engine.runs)) {
                runs.computeIfAbsent(run.id, id -> new ArrayList<>())
                        .add(String.format("at %.3f on %s (%s)", run.began, engine.id, run.end));
            }
        }
        int twice = 0;
        for (Map.Entry<String, List<String>> entry : runs.entrySet()) {
            if (entry.getValue().size() > 1) {
                twice++;
                rig.note("request %s ran %d times: %s", entry.getKey(), entry.getValue().size(), entry.getValue());
            }
        }
        rig.note("requests: %d; answers by status: %s; additional answers: %d; run more than once: %d",
                requests, statuses, extras, twice);
        if (!statuses.containsKey(200)) {
            throw new Rig.CannotRun("no request was served");
        }
        return twice == 0;
    }

    private static int request(Rig rig, Rig.Node node) {
        String id = Rig.newJobId();
        try {
            Rig.Answer answer = rig.call(
                    node,
                    "POST",
                    Rig.STREAM_PREFIX + "2f",
                    Map.of("Host", Rig.STREAM_HOST, "Request-Id", id, "Model", "m", "Token-Counts", "350,80",
                            "Prompt-Prefix", "5c1e07a2:100," + id.substring(0, 8) + ":250", "Request-Deadline", "5000"),
                    new byte[1500],
                    6000);
            if (answer.status != 200 || !answer.complete) {
                rig.note("%s: request %s: %d %s", node.name, id, answer.status, answer.complete ? "" : "incomplete");
            }
            return answer.status;
        } catch (IOException e) {
            rig.note("%s: request %s: %s", node.name, id, e);
            return -1;
        }
    }
}
