package dev.lavenderline.bench.slopes;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.admission.SlotController;
import dev.lavenderline.core.config.ConfigLedger;
import dev.lavenderline.core.config.ConfigParser;
import dev.lavenderline.core.config.FleetConfig;
import dev.lavenderline.core.ledger.WorkLedger;
import dev.lavenderline.core.membership.Members;
import dev.lavenderline.core.routing.DispatcherOptions;
import dev.lavenderline.core.routing.Dispatchers;
import dev.lavenderline.core.routing.LoadAwareDispatcher;
import dev.lavenderline.core.routing.Locality;
import dev.lavenderline.core.routing.RequestProfile;
import dev.lavenderline.proto.log.ConfigChange;
import dev.lavenderline.proto.log.ConfigFile;
import dev.lavenderline.proto.log.Entry;
import dev.lavenderline.proto.log.FileChunk;
import dev.lavenderline.proto.log.FileSealed;
import dev.lavenderline.proto.log.ItemResult;
import dev.lavenderline.proto.log.ItemsCompleted;
import dev.lavenderline.proto.log.JobClaimed;
import dev.lavenderline.proto.log.JobCreated;
import dev.lavenderline.proto.log.RecordBatch;
import dev.lavenderline.proto.peer.Heartbeat;
import dev.lavenderline.proto.peer.Hello;
import dev.lavenderline.proto.peer.MemberView;
import dev.lavenderline.proto.peer.SlotRequest;
import dev.lavenderline.proto.peer.UpstreamLoad;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.apache.commons.rng.simple.RandomSource;

/**
 * The operations that {@link Slopes} measures. Each method returns the time of one run in microseconds, unless its name
 * says otherwise. Stateless.
 */
final class CoreCosts {
    private static final int RESULTS_PER_RECORD = 100;
    private static final int FAST_REPETITIONS = 500;
    private static final int SLOW_REPETITIONS = 50;
    private static final Duration RETENTION = Duration.ofHours(24);
    private static final Instant RECORD_TIME = Instant.ofEpochSecond(1_800_000_000);

    private CoreCosts() {}

    private static double micros(Runnable task) {
        long start = System.nanoTime();
        task.run();
        return (System.nanoTime() - start) / 1e3;
    }

    static double parseUpstreams(int upstreams) {
        SortedMap<String, byte[]> files = configFiles(upstreams, 1);
        return micros(() -> ConfigParser.parse(files).get());
    }

    static double parseWorkspaces(int workspaces) {
        SortedMap<String, byte[]> files = configFiles(1, workspaces);
        return micros(() -> ConfigParser.parse(files).get());
    }

    /** Measures applying a change of one file to a configuration of many files. */
    static double applyChange(int fileCount) {
        ConfigLedger ledger =
                new ConfigLedger(files -> ConfigParser.parse(files).mapLeft(Object::toString), changed -> {});
        ConfigChange.Builder all = ConfigChange.newBuilder().setId("all").setBase(0);
        configFiles(4, 1).forEach((name, content) -> all.addFiles(file(name, content)));
        for (int i = 0; i < fileCount; i++) {
            all.addFiles(file(String.format("50-%04d.yaml", i), workspaceYaml(i).getBytes(StandardCharsets.UTF_8)));
        }
        ledger.apply(
                1, RECORD_TIME, batch(1, Entry.newBuilder().setConfigChange(all).build()));
        ConfigChange.Builder one = ConfigChange.newBuilder().setId("one").setBase(1);
        one.addFiles(file("50-0000.yaml", workspaceYaml(0).getBytes(StandardCharsets.UTF_8)));
        RecordBatch change = batch(2, Entry.newBuilder().setConfigChange(one).build());
        double cost = micros(() -> ledger.apply(2, RECORD_TIME, change));
        require(ledger.revision() == 2, "the change was not accepted, the revision is " + ledger.revision());
        return cost;
    }

    private static ConfigFile file(String name, byte[] content) {
        return ConfigFile.newBuilder()
                .setName(name)
                .setContent(ByteString.copyFrom(content))
                .build();
    }

    private static SortedMap<String, byte[]> configFiles(int upstreams, int workspaces) {
        StringBuilder yaml = new StringBuilder("models: {lm: {versions: [\"1\"], weight_bytes: 14GB}}\n");
        yaml.append("deployments: {repair: {model: lm, version: \"1\"}}\nupstreams:\n");
        for (int i = 0; i < upstreams; i++) {
            yaml.append("  engine-").append(i).append(": {engine_of: repair, address: \"10.0.");
            yaml.append(i / 250).append('.').append(i % 250 + 1);
            yaml.append(":8000\", region: r0, failure_domain: r0-1, max_concurrent: 16, checks_fencing: true}\n");
        }
        yaml.append("workspaces:\n");
        for (int i = 0; i < workspaces; i++) {
            yaml.append("  w")
                    .append(i)
                    .append(": {tokens_sha256: [\"")
                    .append(tokenHash(i))
                    .append("\"]}\n");
        }
        TreeMap<String, byte[]> files = new TreeMap<>();
        files.put("00-fleet.yaml", yaml.toString().getBytes(StandardCharsets.UTF_8));
        return files;
    }

    private static String workspaceYaml(int i) {
        return "workspaces: {f" + i + ": {tokens_sha256: [\"" + tokenHash(1_000_000 + i) + "\"]}}\n";
    }

    private static String tokenHash(int i) {
        return String.format("%064x", i + 1);
    }

    /** Measures one submission to the dispatcher, up to the end of the request. */
    static double dispatch(int engines) {
        FleetConfig config = ConfigParser.parse(configFiles(engines, 1)).get();
        LoadAwareDispatcher dispatcher = Dispatchers.create(
                Dispatchers.LATENCY_AWARE,
                DispatcherOptions.defaults(),
                Ticker.system(),
                RandomSource.XO_RO_SHI_RO_128_PP.create(1),
                new Locality("r0", "r0-1"));
        dispatcher.configure(config);
        long deadline = Ticker.system().nanos() + Duration.ofMinutes(1).toNanos();
        return micros(() -> {
                    for (int i = 0; i < FAST_REPETITIONS; i++) {
                        RequestProfile request =
                                new RequestProfile("r" + i, "w0", "repair", i, 100, 16, deadline, true);
                        dispatcher
                                .submit(
                                        request,
                                        decision -> decision.forEach(attempt -> {
                                            attempt.firstToken();
                                            attempt.tokens(16);
                                            attempt.finished();
                                        }))
                                .forEach(ticket -> ticket.close());
                    }
                })
                / FAST_REPETITIONS;
    }

    /** Measures one tick of a slot controller whose engines each have a load report and a slot request. */
    static double slotTick(int engines) {
        FleetConfig config = ConfigParser.parse(configFiles(engines, 1)).get();
        SlotController controller = new SlotController("n1", Ticker.system());
        controller.configure(config);
        controller.controlEngines(config.upstreams().keySet());
        List<UpstreamLoad> loads = new ArrayList<>();
        for (String engine : config.upstreams().keySet()) {
            loads.add(UpstreamLoad.newBuilder()
                    .setUpstream(engine)
                    .setOnlineInFlight(3)
                    .setFirstTokenUs(50_000)
                    .setTokenIntervalUs(22_000)
                    .build());
            controller.request(
                    "n2",
                    SlotRequest.newBuilder()
                            .setUpstream(engine)
                            .setWanted(8)
                            .setDeadlineInMs(60_000)
                            .build());
        }
        return micros(() -> {
                    for (int i = 0; i < SLOW_REPETITIONS; i++) {
                        controller.updateLoads("n2", loads);
                        controller.tick();
                    }
                })
                / SLOW_REPETITIONS;
    }

    /** Measures applying all records of one job, from its file to its last result. */
    static double applyResults(int items) {
        List<RecordBatch> records = jobRecords("job", items, true);
        WorkLedger ledger = new WorkLedger(RETENTION, event -> {});
        return micros(() -> apply(ledger, records));
    }

    /** Measures parsing and applying result records, as a node does when it starts without a snapshot. */
    static double replayRecords(int count) {
        List<byte[]> records = new ArrayList<>();
        jobRecords("job", Math.min(WorkLedger.MAX_ITEMS, count * 20), true, 20)
                .forEach(record -> records.add(record.toByteArray()));
        WorkLedger ledger = new WorkLedger(RETENTION, event -> {});
        double cost = micros(() -> {
            long offset = 0;
            for (byte[] record : records) {
                try {
                    ledger.apply(++offset, RECORD_TIME, RecordBatch.parseFrom(record));
                } catch (InvalidProtocolBufferException e) {
                    throw new IllegalStateException("cannot parse record " + offset, e);
                }
            }
        });
        require(
                ledger.job("job").orElseThrow().state() == dev.lavenderline.core.ledger.Job.State.COMPLETED,
                "the job is not completed");
        return cost;
    }

    static double snapshotBytes(int items) {
        WorkLedger ledger = new WorkLedger(RETENTION, event -> {});
        apply(ledger, jobRecords("job", items, true));
        return ledger.snapshot().length;
    }

    static double restore(int items) {
        WorkLedger ledger = new WorkLedger(RETENTION, event -> {});
        apply(ledger, jobRecords("job", items, true));
        byte[] snapshot = ledger.snapshot();
        WorkLedger other = new WorkLedger(RETENTION, event -> {});
        return micros(() -> other.restore(ledger.position(), snapshot));
    }

    /** Measures applying the creation and the claim of many one-item jobs. */
    static double applyJobs(int jobs) {
        List<RecordBatch> records = new ArrayList<>();
        for (int i = 0; i < jobs; i++) {
            records.addAll(jobRecords("job-" + i, 1, false));
        }
        List<RecordBatch> numbered = new ArrayList<>();
        for (int i = 0; i < records.size(); i++) {
            numbered.add(records.get(i).toBuilder().setSequence(i + 1).build());
        }
        WorkLedger ledger = new WorkLedger(RETENTION, event -> {});
        double cost = micros(() -> apply(ledger, numbered));
        require(
                ledger.openJobs().size() == jobs,
                "expected " + jobs + " open jobs, got " + ledger.openJobs().size());
        return cost;
    }

    private static void apply(WorkLedger ledger, List<RecordBatch> records) {
        long offset = 0;
        for (RecordBatch record : records) {
            ledger.apply(++offset, RECORD_TIME, record);
        }
    }

    private static List<RecordBatch> jobRecords(String id, int items, boolean withResults) {
        return jobRecords(id, items, withResults, RESULTS_PER_RECORD);
    }

    private static List<RecordBatch> jobRecords(String id, int items, boolean withResults, int resultsPerRecord) {
        List<RecordBatch> records = new ArrayList<>();
        String file = "file-" + id;
        records.add(batch(
                1,
                Entry.newBuilder()
                        .setFileChunk(FileChunk.newBuilder()
                                .setFileId(file)
                                .setWorkspace("w")
                                .setItems(items))
                        .build()));
        records.add(batch(
                2,
                Entry.newBuilder()
                        .setFileSealed(FileSealed.newBuilder()
                                .setFileId(file)
                                .setWorkspace("w")
                                .setItems(items)
                                .setChunks(1))
                        .build()));
        records.add(batch(
                3,
                Entry.newBuilder()
                        .setJobCreated(JobCreated.newBuilder()
                                .setJobId(id)
                                .setWorkspace("w")
                                .setFileId(file)
                                .setItems(items)
                                .setDeadlineMs(RECORD_TIME.plus(RETENTION).toEpochMilli()))
                        .build()));
        records.add(batch(
                4,
                Entry.newBuilder()
                        .setJobClaimed(JobClaimed.newBuilder().setJobId(id).setHolder("n1"))
                        .build()));
        for (int item = 0; withResults && item < items; item += resultsPerRecord) {
            ItemsCompleted.Builder completed =
                    ItemsCompleted.newBuilder().setJobId(id).setClaim(4);
            for (int i = item; i < Math.min(items, item + resultsPerRecord); i++) {
                completed.addResults(ItemResult.newBuilder()
                        .setIndex(i)
                        .setCustomId("item-" + i)
                        .setStatus(200)
                        .setBody(ByteString.copyFromUtf8("{\"answer\":\"" + i + "\"}")));
            }
            records.add(batch(
                    records.size() + 1,
                    Entry.newBuilder().setItemsCompleted(completed).build()));
        }
        return records;
    }

    private static RecordBatch batch(long sequence, Entry entry) {
        return RecordBatch.newBuilder()
                .setVersion(1)
                .setWriter("w1")
                .setSequence(sequence)
                .addEntries(entry)
                .build();
    }

    /** Measures processing a heartbeat that carries one member view. */
    static double heartbeat(int count) {
        Members members = createMembers(count);
        Hello from = hello(1);
        Heartbeat heartbeat = Heartbeat.newBuilder().addMembers(view(2)).build();
        return micros(() -> {
                    for (int i = 0; i < FAST_REPETITIONS; i++) {
                        members.applyHeartbeat(from, heartbeat);
                    }
                })
                / FAST_REPETITIONS;
    }

    /** Measures selecting the neighbours and determining the live members. */
    static double neighbours(int count) {
        Members members = createMembers(count);
        return micros(() -> {
                    for (int i = 0; i < SLOW_REPETITIONS; i++) {
                        members.neighbours(Members.MAX_NEIGHBOURS);
                        members.live();
                    }
                })
                / SLOW_REPETITIONS;
    }

    private static Members createMembers(int count) {
        Members members = new Members(Ticker.system(), hello(0));
        List<String> addresses = new ArrayList<>();
        for (int i = 1; i < count; i++) {
            addresses.add(hello(i).getAddress());
        }
        members.updateHosts(addresses, List.of());
        for (int i = 1; i < count; i++) {
            members.applyHeartbeat(hello(i), Heartbeat.getDefaultInstance());
        }
        return members;
    }

    private static Hello hello(int i) {
        return Hello.newBuilder()
                .setNode("node-" + i)
                .setIncarnation("node-" + i + "-0123456789ab")
                .setAddress("10.1." + i / 250 + "." + (i % 250 + 1) + ":8082")
                .setRegion("r" + i % 8)
                .setFailureDomain("r" + i % 8 + "-" + i % 27)
                .build();
    }

    private static MemberView view(int i) {
        Hello hello = hello(i);
        return MemberView.newBuilder()
                .setNode(hello.getNode())
                .setIncarnation(hello.getIncarnation())
                .setAddress(hello.getAddress())
                .setRegion(hello.getRegion())
                .setFailureDomain(hello.getFailureDomain())
                .build();
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalStateException(message);
        }
    }
}
