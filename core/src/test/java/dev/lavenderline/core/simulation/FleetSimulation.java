package dev.lavenderline.core.simulation;

import dev.lavenderline.core.admission.AttemptFailure;
import dev.lavenderline.core.admission.BatchAction;
import dev.lavenderline.core.admission.BatchJob;
import dev.lavenderline.core.admission.BatchScheduler;
import dev.lavenderline.core.admission.ItemRef;
import dev.lavenderline.core.admission.SlotController;
import dev.lavenderline.core.config.FleetConfig;
import dev.lavenderline.core.config.Upstream;
import dev.lavenderline.core.routing.Dispatcher;
import dev.lavenderline.core.routing.DispatcherOptions;
import dev.lavenderline.core.routing.Dispatchers;
import dev.lavenderline.core.routing.Fleets;
import dev.lavenderline.core.routing.LoadAwareDispatcher;
import dev.lavenderline.core.routing.LoadExchange.LoadChange;
import dev.lavenderline.core.routing.Locality;
import dev.lavenderline.core.routing.RequestProfile;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Discrete-event simulation of nodes that run the real dispatch and admission code in front of modelled engines. */
final class FleetSimulation {
    private static final String[] REGIONS = {"north", "vale", "coast"};
    private static final double WARM_UP_SECONDS = 10;
    private static final double LOCAL_LATENCY_MILLIS = 1;
    private static final double REMOTE_LATENCY_MILLIS = 8;
    private static final int BATCH_PROMPT_TOKENS = 256;
    private static final int BATCH_OUTPUT_TOKENS = 100;
    /** Whether a cancelled item resumes after the tokens that it generated. */
    private static final boolean RESUME_CANCELLED = Boolean.getBoolean("continue");

    final EventQueue events = new EventQueue();
    final List<Double> firstTokenMillis = new ArrayList<>();
    final Map<String, EngineModel> engines = new HashMap<>();
    private final Setup setup;
    private final UniformRandomProvider random;
    private final List<Node> nodes = new ArrayList<>();
    private final FleetConfig config;
    int requests;
    int refusedRequests;
    int hedges;
    int remoteAttempts;
    int batchFinished;
    int batchCancelled;
    double maxOnlineWaitMillis;
    private int batchFinishedInWarmUp;
    private double onlineSecondsInWarmUp;

    /** @param stragglerShare share of the requests with 30 times the usual output */
    record Setup(
            String policy,
            double requestsPerSecond,
            boolean batch,
            double stragglerShare,
            int slowedEngines,
            int nodeCount,
            long seed) {}

    FleetSimulation(Setup setup) {
        this.setup = setup;
        random = RandomSource.XO_SHI_RO_256_PP.create(setup.seed);
        List<Upstream> upstreams = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            String region = REGIONS[i % 3];
            upstreams.add(Fleets.engine("e" + i, region, region + "-1", 9000 + i, EngineModel.SEQUENCES));
            engines.put("e" + i, new EngineModel("e" + i, region, events));
        }
        config = Fleets.of(List.of(), upstreams.toArray(new Upstream[0]));
        for (int i = 0; i < setup.nodeCount; i++) {
            nodes.add(new Node("n" + i, REGIONS[i % 3], i < 3));
        }
    }

    /** Runs and returns the 99th percentile of the time to first token in milliseconds, without the first 10 s. */
    double run(double seconds) {
        if (setup.slowedEngines > 0) {
            events.after(12_000, () -> {
                for (int i = 0; i < setup.slowedEngines; i++) {
                    engines.get("e" + i).slowdown = 5;
                }
            });
        }
        scheduleArrival();
        events.runUntil(WARM_UP_SECONDS);
        batchFinishedInWarmUp = batchFinished;
        onlineSecondsInWarmUp = onlineSeconds();
        events.runUntil(seconds);
        return percentile(0.99);
    }

    double percentile(double q) {
        double[] sorted = firstTokenMillis.stream()
                .mapToDouble(Double::doubleValue)
                .sorted()
                .toArray();
        return sorted[(int) Math.min(sorted.length - 1, Math.ceil(q * sorted.length))];
    }

    /** Returns the finished batch items relative to those that the sequence time unused by online requests allows. */
    double batchShare() {
        double seconds = events.seconds() - WARM_UP_SECONDS;
        double unusedSeconds =
                engines.size() * EngineModel.SEQUENCES * seconds - (onlineSeconds() - onlineSecondsInWarmUp);
        double stepMillis = EngineModel.stepMillis(EngineModel.SEQUENCES, 0);
        double prefillMillis = EngineModel.stepMillis(0, BATCH_PROMPT_TOKENS) - EngineModel.stepMillis(0, 0);
        double itemMillis = BATCH_OUTPUT_TOKENS * stepMillis + EngineModel.SEQUENCES * prefillMillis;
        return (batchFinished - batchFinishedInWarmUp) * itemMillis / 1000 / unusedSeconds;
    }

    private double onlineSeconds() {
        return engines.values().stream().mapToDouble(EngineModel::onlineSeconds).sum();
    }

    String occupancy() {
        return engines.values().stream()
                .sorted(Comparator.comparing(engine -> engine.name))
                .map(engine -> String.format(
                        Locale.ROOT,
                        "%s:%.1f+%.1f",
                        engine.name,
                        engine.onlineSeconds() / events.seconds(),
                        engine.batchSeconds() / events.seconds()))
                .collect(Collectors.joining(" "));
    }

    private void scheduleArrival() {
        events.after(-Math.log(1 - random.nextDouble()) / setup.requestsPerSecond * 1000, () -> {
            nodes.get(random.nextInt(nodes.size())).request();
            scheduleArrival();
        });
    }

    private double latencyMillis(String from, String to) {
        return from.equals(to) ? LOCAL_LATENCY_MILLIS : REMOTE_LATENCY_MILLIS;
    }

    private final class Node {
        private final String name;
        private final String region;
        private final LoadAwareDispatcher dispatcher;
        private final SlotController controller;
        private final BatchScheduler scheduler;
        private final Map<ItemRef, EngineModel.Sequence> items = new HashMap<>();
        private final Map<ItemRef, Integer> tokensLeft = new HashMap<>();
        private final Map<String, Integer> batchInFlight = new HashMap<>();
        private long version;
        private int nextId;

        Node(String name, String region, boolean ownsJob) {
            this.name = name;
            this.region = region;
            UniformRandomProvider nodeRandom = RandomSource.XO_SHI_RO_256_PP.create(random.nextLong());
            dispatcher = Dispatchers.create(
                    setup.policy,
                    DispatcherOptions.defaults(),
                    events,
                    nodeRandom,
                    new Locality(region, region + "-1"));
            controller = new SlotController(name, events);
            scheduler = new BatchScheduler(region, events, nodeRandom);
            dispatcher.configure(config);
            controller.configure(config);
            scheduler.configure(config);
            if (ownsJob) {
                controller.controlEngines(config.upstreams().values().stream()
                        .filter(upstream -> upstream.region().equals(region))
                        .map(Upstream::name)
                        .collect(Collectors.toSet()));
            }
            if (setup.batch && ownsJob) {
                BatchJob job = new BatchJob(
                        "job-" + name, "w", Fleets.MODEL, events.now().plus(Duration.ofDays(1)), 100_000);
                events.after(1000, () -> scheduler.open(job, new BitSet()));
            }
            double offset = random.nextDouble() * 5;
            events.after(offset, () -> events.every(5, this::exchange));
            events.after(offset, () -> events.every(10, dispatcher::tick));
        }

        private void exchange() {
            LoadChange change = dispatcher.changedSince(version);
            if (!change.loads().isEmpty()) {
                version = change.version();
                onlineChanged();
                for (Node peer : nodes) {
                    if (peer == this) {
                        controller.updateLoads(name, change.loads());
                    } else {
                        events.after(latencyMillis(region, peer.region), () -> peer.loads(name, change));
                    }
                }
            }
            scheduler.requests().forEach(request -> {
                Node owner = controllerOf(request.getUpstream());
                events.after(latencyMillis(region, owner.region), () -> owner.controller.request(name, request));
            });
            controller.tick().forEach(grant -> {
                Node owner = nodes.stream()
                        .filter(node -> node.name.equals(grant.node()))
                        .findFirst()
                        .orElseThrow();
                events.after(latencyMillis(region, owner.region), () -> {
                    owner.scheduler.grant(grant.grant());
                    owner.batchTick();
                });
            });
            batchTick();
        }

        private void loads(String from, LoadChange change) {
            dispatcher.peerLoads(from, change.loads());
            controller.updateLoads(from, change.loads());
            onlineChanged();
        }

        private void onlineChanged() {
            for (String engine : engines.keySet()) {
                scheduler.onlineChanged(engine, dispatcher.onlineInFlight(engine));
            }
            batchTick();
        }

        private Node controllerOf(String engine) {
            return nodes.stream()
                    .filter(node -> node.region.equals(engines.get(engine).region))
                    .findFirst()
                    .orElseThrow();
        }

        private void batchTick() {
            if (!setup.policy.equals(Dispatchers.LATENCY_AWARE)) {
                startUnlimitedBatch();
                return;
            }
            for (BatchAction action : scheduler.tick()) {
                EngineModel engine = engines.get(action.upstream());
                if (action instanceof BatchAction.Start) {
                    startItem(action.item(), engine);
                } else {
                    cancelItem(action.item(), engine);
                }
            }
        }

        /** Baseline without admission control: the owner keeps 64 items in flight on each engine of its region. */
        private void startUnlimitedBatch() {
            if (!setup.batch || !name.equals("n" + Arrays.asList(REGIONS).indexOf(region)) || events.seconds() < 1) {
                return;
            }
            for (EngineModel engine : engines.values()) {
                while (engine.region.equals(region) && batchInFlight.getOrDefault(engine.name, 0) < 64) {
                    startItem(new ItemRef(name, nextId++), engine);
                }
            }
        }

        private void startItem(ItemRef ref, EngineModel engine) {
            double latency = latencyMillis(region, engine.region);
            addBatchInFlight(engine, 1);
            int left = tokensLeft.getOrDefault(ref, BATCH_OUTPUT_TOKENS);
            EngineModel.Sequence[] sequence = new EngineModel.Sequence[1];
            sequence[0] = new EngineModel.Sequence(
                    true,
                    BATCH_PROMPT_TOKENS + BATCH_OUTPUT_TOKENS - left,
                    left,
                    () -> events.after(latency, () -> {
                        scheduler.firstToken(ref);
                        batchTick();
                    }),
                    () -> {},
                    () -> events.after(latency, () -> {
                        if (items.remove(ref) != null) {
                            scheduler.finished(ref);
                            addBatchInFlight(engine, -1);
                            batchFinished++;
                            batchTick();
                        }
                    }));
            items.put(ref, sequence[0]);
            events.after(latency, () -> engine.submit(sequence[0]));
        }

        private void cancelItem(ItemRef ref, EngineModel engine) {
            EngineModel.Sequence sequence = items.remove(ref);
            events.after(latencyMillis(region, engine.region) + 0.001, () -> engine.cancel(sequence));
            if (RESUME_CANCELLED) {
                tokensLeft.put(ref, sequence.tokensLeft());
            }
            batchCancelled++;
            addBatchInFlight(engine, -1);
            scheduler.failed(ref, AttemptFailure.CANCELLED);
        }

        private void addBatchInFlight(EngineModel engine, int by) {
            int inFlight = batchInFlight.merge(engine.name, by, Integer::sum);
            dispatcher.batchInFlight(engine.name, inFlight);
        }

        void request() {
            boolean straggler = random.nextDouble() < setup.stragglerShare;
            int tokens = (40 + random.nextInt(81)) * (straggler ? 30 : 1);
            int prompt = 100 + random.nextInt(201);
            RequestProfile profile = new RequestProfile(
                    name + "-" + nextId++,
                    "w",
                    Fleets.MODEL,
                    0,
                    prompt,
                    tokens,
                    events.nanos() + 300_000_000_000L,
                    true);
            requests++;
            PendingRequest pending = new PendingRequest(profile, events.seconds(), straggler);
            dispatcher
                    .submit(profile, decision -> decision.peek(pending::send).peekLeft(refusal -> refusedRequests++))
                    .peek(pending::admitted)
                    .peekLeft(refusal -> refusedRequests++);
        }

        private final class PendingRequest {
            private final RequestProfile profile;
            private final double arrivalSeconds;
            private final boolean straggler;
            private final Map<Dispatcher.Attempt, EngineModel.Sequence> open = new HashMap<>();
            private Dispatcher.Ticket ticket;
            private boolean answered;

            PendingRequest(RequestProfile profile, double arrivalSeconds, boolean straggler) {
                this.profile = profile;
                this.arrivalSeconds = arrivalSeconds;
                this.straggler = straggler;
            }

            void admitted(Dispatcher.Ticket admitted) {
                ticket = admitted;
                if (!open.isEmpty()) {
                    planHedge();
                }
            }

            private void planHedge() {
                ticket.hedgeDelay().ifPresent(delay -> events.after(delay.toNanos() / 1e6, this::hedge));
            }

            private void hedge() {
                Optional<Dispatcher.Attempt> hedge = answered ? Optional.empty() : ticket.hedge();
                hedge.ifPresent(attempt -> {
                    hedges++;
                    sendAttempt(attempt);
                });
            }

            void send(Dispatcher.Attempt attempt) {
                sendAttempt(attempt);
                if (ticket != null) {
                    planHedge();
                }
            }

            private void sendAttempt(Dispatcher.Attempt attempt) {
                EngineModel engine = engines.get(attempt.upstream());
                double latency = latencyMillis(region, engine.region);
                remoteAttempts += engine.region.equals(region) ? 0 : 1;
                EngineModel.Sequence sequence = new EngineModel.Sequence(
                        false,
                        profile.promptTokens(),
                        profile.maxTokens(),
                        () -> events.after(latency, () -> firstToken(attempt)),
                        () -> events.after(latency, () -> attempt.tokens(1)),
                        () -> events.after(latency, attempt::finished));
                open.put(attempt, sequence);
                events.after(latency, () -> engine.submit(sequence));
            }

            private void firstToken(Dispatcher.Attempt attempt) {
                if (!open.containsKey(attempt)) {
                    return;
                }
                attempt.firstToken();
                EngineModel.Sequence sequence = open.get(attempt);
                maxOnlineWaitMillis =
                        Math.max(maxOnlineWaitMillis, (sequence.admittedSeconds - sequence.sentSeconds) * 1000);
                if (!answered && arrivalSeconds >= WARM_UP_SECONDS && !straggler) {
                    firstTokenMillis.add((events.seconds() - arrivalSeconds) * 1000);
                }
                answered = true;
                for (Dispatcher.Attempt other : Set.copyOf(open.keySet())) {
                    if (other != attempt) {
                        EngineModel engine = engines.get(other.upstream());
                        EngineModel.Sequence cancelled = open.remove(other);
                        other.cancelled();
                        events.after(latencyMillis(region, engine.region) + 0.001, () -> engine.cancel(cancelled));
                    }
                }
            }
        }
    }
}
