package dev.lavenderline.serving.jobs;

import com.google.common.hash.Hashing;
import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import dev.lavenderline.core.Ticker;
import dev.lavenderline.core.Timers;
import dev.lavenderline.proto.jobs.ItemFailures;
import dev.lavenderline.proto.jobs.ItemResult;
import dev.lavenderline.proto.jobs.JobItem;
import dev.lavenderline.proto.jobs.JobItems;
import dev.lavenderline.proto.jobs.JobPart;
import dev.lavenderline.proto.jobs.PayloadRef;
import dev.lavenderline.serving.logging.EventLog;
import dev.lavenderline.serving.logging.ServingEvent;
import dev.lavenderline.serving.routes.Route;
import dev.lavenderline.serving.slots.ItemRef;
import dev.lavenderline.serving.store.ConditionalWriter;
import dev.lavenderline.serving.store.KeyedListener;
import dev.lavenderline.serving.store.KeyedRecord;
import dev.lavenderline.serving.store.MetadataStore;
import dev.lavenderline.serving.store.Partition;
import dev.lavenderline.serving.store.PartitionFollower;
import dev.lavenderline.serving.store.SharedReads;
import dev.lavenderline.serving.store.StoreException;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Reads and writes the job topic. All records of a job are in one partition, and every append is conditional on the
 * offset up to which that partition was read. Contents above a few bytes are kept as payloads.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
public final class JobStore {
    static final String TOPIC = "jobs";

    /** Maximum wait of a long poll, and so the time within which an idle partition is confirmed to be unchanged. */
    private static final Duration POLL_WAIT = Duration.ofSeconds(1);

    /** Shortest time between two reads of a partition for requests about unknown jobs. */
    private static final Duration SHARED_READ_PERIOD = Duration.ofMillis(200);

    /** Time after which requests about unknown jobs do not wait for a read in progress any more. */
    private static final Duration SHARED_READ_TIMEOUT = Duration.ofSeconds(1);

    /** Time limit of writes while the store is down; an item runs again if the node that ran it is lost meanwhile. */
    private static final Duration WRITE_TIMEOUT = Duration.ofMinutes(2);

    /** Size up to which a content stays in the record of the job topic; a reference takes about as much. */
    private static final int MAX_INLINE_BYTES = 64;

    /** Limit on the outputs read for one response; the platform limits a response to 1 MB. */
    private static final int MAX_RESPONSE_BYTES = 900_000;

    /** Time after which a result that the store has not confirmed is logged. */
    static final Duration RESULT_DELAY = Duration.ofSeconds(5);

    private final String node;
    private final Ticker ticker;
    private final Timers timers;
    private final EventLog log;
    private final JobLedger ledger;
    private final int maxRecordBytes;
    private final PayloadStore payloads;
    private final List<PartitionFollower> followers = new ArrayList<>();
    private final List<ConditionalWriter> writers = new ArrayList<>();
    private final List<SharedReads> sharedReads = new ArrayList<>();

    /** Failure counts of this node's runs, which the ledger may lack while the store does not respond. */
    private final Map<ItemRef, Integer> submittedFailures = new HashMap<>();

    /** Items whose result this node has submitted. */
    private final Set<ItemRef> submittedResults = new HashSet<>();

    /** Outcome of submitting a job. */
    public enum Acceptance {
        ACCEPTED,
        /** The job would exceed the route's limit of waiting tokens of its workspace; it does not run. */
        OVER_LIMIT,
        /** The job was not appended in time; it does not run. */
        NOT_APPENDED,
        /** The job may have been appended, but the store did not confirm it in time; it may run. */
        UNKNOWN
    }

    /**
     * Creates a job store; {@link #start} begins to read.
     *
     * @param node name of this node
     * @param partitions number of partitions of the job topic; must be the same on all nodes
     * @param payloadPartitions number of partitions of each payload topic; must be the same on all nodes
     * @param maxRecordBytes size limit of a record
     * @param pause time between two polls of a partition
     * @param nonces numbers that no other node or process draws
     */
    public JobStore(
            String node,
            MetadataStore store,
            JobLedger ledger,
            Ticker ticker,
            Timers timers,
            EventLog log,
            int partitions,
            int payloadPartitions,
            int maxRecordBytes,
            Supplier<Duration> pause,
            LongSupplier nonces) {
        this.node = node;
        this.ticker = ticker;
        this.timers = timers;
        this.log = log;
        this.ledger = ledger;
        this.maxRecordBytes = maxRecordBytes;
        this.payloads = new PayloadStore(store, timers, log, payloadPartitions, maxRecordBytes, nonces);
        for (int i = 0; i < partitions; i++) {
            Partition partition = new Partition(TOPIC, i);
            PartitionFollower follower =
                    new PartitionFollower(store, partition, listener(partition), ticker, timers, log, POLL_WAIT, pause);
            followers.add(follower);
            writers.add(new ConditionalWriter(store, partition, follower, ticker, timers, log));
            sharedReads.add(new SharedReads(
                    () -> withLimit(follower.refresh(), SHARED_READ_TIMEOUT), SHARED_READ_PERIOD, ticker, timers));
        }
        ledger.onResult(result -> submittedFailures.remove(new ItemRef(result.getJob(), result.getItem())));
        ledger.onCancelled(
                job -> submittedFailures.keySet().removeIf(item -> item.job().equals(job.id())));
    }

    private KeyedListener listener(Partition partition) {
        return new KeyedListener() {
            @Override
            public void reset(List<KeyedRecord> current) {
                ledger.reset(current, job -> partition(job) == partition.number());
            }

            @Override
            public void record(KeyedRecord newer) {
                ledger.apply(newer);
            }
        };
    }

    /** Starts reading all partitions. */
    public void start() {
        followers.forEach(PartitionFollower::start);
    }

    /** Returns whether the initial read of a job's partition is complete. */
    public boolean loaded(String job) {
        return followers.get(partition(job)).nextOffset() >= 0;
    }

    /** Returns the time since the store's last response about the partition of a job. */
    public Duration age(String job) {
        return followers.get(partition(job)).age();
    }

    /** Returns the longest time since the store's last response over all partitions. */
    public Duration age() {
        return followers.stream()
                .map(PartitionFollower::age)
                .max(Duration::compareTo)
                .orElse(Duration.ZERO);
    }

    /** Returns the number of changes that the store has not confirmed. */
    public int pendingWrites() {
        return payloads.pendingWrites()
                + writers.stream().mapToInt(ConditionalWriter::waiting).sum();
    }

    private int partition(String job) {
        int hash = Hashing.murmur3_32_fixed()
                .hashString(job, StandardCharsets.UTF_8)
                .asInt();
        return Math.floorMod(hash, followers.size());
    }

    private ConditionalWriter writer(String job) {
        return writers.get(partition(job));
    }

    /** Reads the partition of a job up to its current end. */
    public Future<Void> refresh(String job) {
        return followers.get(partition(job)).refresh();
    }

    /**
     * Accepts a job within the route's limit of waiting tokens of its workspace; accepting it again has no further
     * effect.
     */
    public Future<Acceptance> accept(JobSubmission submission, Route route, String host, Duration timeout) {
        JobPart metadata = JobPart.newBuilder()
                .setJob(submission.id())
                .setRoute(route.name())
                .setHost(host)
                .setAcceptedUnixMs(ticker.now().toEpochMilli())
                .setDueInMs((int) route.completionTarget().toMillis())
                .setRetentionMs((int) route.retention().toMillis())
                .setAttempts(route.attempts())
                .setAcceptedBy(node)
                .setWorkspace(submission.workspace())
                .build();
        if (ledger.find(submission.id()).isPresent()) {
            return Future.succeededFuture(Acceptance.ACCEPTED);
        }
        if (!overLimit(submission, route)) {
            return write(submission, route, metadata, timeout);
        }
        // The state may lag: another node may have accepted this job, or results may have been added.
        long started = ticker.nanos();
        return refresh(submission.id(), timeout)
                .compose(read -> {
                    if (ledger.find(submission.id()).isPresent()) {
                        return Future.succeededFuture(Acceptance.ACCEPTED);
                    }
                    if (overLimit(submission, route) && !mayBeAppended(submission.id())) {
                        return Future.succeededFuture(Acceptance.OVER_LIMIT);
                    }
                    return write(submission, route, metadata, timeout.minusNanos(ticker.nanos() - started));
                })
                .recover(failure -> Future.succeededFuture(outcomeWithoutAppend(submission.id())));
    }

    private Future<Acceptance> write(JobSubmission submission, Route route, JobPart metadata, Duration timeout) {
        long deadlineNanos = ticker.nanos() + timeout.toNanos();
        List<Future<JobPart>> writes = JobRecords.parts(metadata, submission.items(), maxRecordBytes).stream()
                .map(part -> writeContent(part, timeout))
                .toList();
        return Future.join(writes).transform(done -> {
            List<JobPart> written = writes.stream()
                    .filter(Future::succeeded)
                    .map(Future::result)
                    .toList();
            long leftNanos = deadlineNanos - ticker.nanos();
            if (done.failed() || leftNanos <= 0) {
                deleteUnused(submission.id(), written);
                return Future.succeededFuture(outcomeWithoutAppend(submission.id()));
            }
            return appendJob(submission, route, written, Duration.ofNanos(leftNanos));
        });
    }

    /**
     * Reads the partition of a job up to its current end for a request about a job that may not exist. Such requests
     * share reads, so that they can't use up the calls that the store allows.
     *
     * @return a future that fails with a {@link StoreException} if the store does not answer within the limit
     */
    public Future<Void> refreshForUnknown(String job, Duration limit) {
        return withLimit(sharedReads.get(partition(job)).read(), limit);
    }

    private Future<Void> refresh(String job, Duration limit) {
        return withLimit(refresh(job), limit);
    }

    private Future<Void> withLimit(Future<Void> read, Duration limit) {
        Promise<Void> promise = Promise.promise();
        Timers.Timer timer = timers.after(
                limit,
                () -> promise.tryFail(new StoreException(StoreException.Reason.UNKNOWN, "not read within " + limit)));
        read.onSuccess(promise::tryComplete).onFailure(promise::tryFail);
        return promise.future().onComplete(done -> timer.cancel());
    }

    /** Returns whether the store may still execute an append of a job, such as one of an earlier submission. */
    private boolean mayBeAppended(String job) {
        return writer(job).mayBeExecuted(changeName(job));
    }

    /** Returns the outcome of a submission that appended nothing; an earlier one of the same job may have. */
    private Acceptance outcomeWithoutAppend(String job) {
        if (ledger.find(job).isPresent()) {
            return Acceptance.ACCEPTED;
        }
        return mayBeAppended(job) ? Acceptance.UNKNOWN : Acceptance.NOT_APPENDED;
    }

    private static String changeName(String job) {
        return "job/" + job;
    }

    private Future<JobPart> writeContent(JobPart part, Duration timeout) {
        byte[] content =
                JobItems.newBuilder().addAllItems(part.getItemsList()).build().toByteArray();
        if (content.length <= MAX_INLINE_BYTES) {
            return Future.succeededFuture(part);
        }
        return payloads.write(part.getJob(), JobRecords.key(part), content, timeout)
                .map(ref -> JobRecords.withPayload(part, ref));
    }

    private boolean overLimit(JobSubmission submission, Route route) {
        return route.maxWaitingTokens() > 0
                && ledger.waitingTokens(route.name(), submission.workspace()) + submission.tokens()
                        > route.maxWaitingTokens();
    }

    private Future<Acceptance> appendJob(JobSubmission submission, Route route, List<JobPart> parts, Duration timeout) {
        ConditionalWriter.Change change = new ConditionalWriter.Change() {
            @Override
            public Optional<List<KeyedRecord>> records(ConditionalWriter.Reservations reservations) {
                if (ledger.find(submission.id()).isPresent()) {
                    return Optional.of(List.of());
                }
                if (reservations.take(changeName(submission.id())) > 0) {
                    return Optional.empty();
                }
                return Optional.of(parts.stream().map(JobRecords::part).toList());
            }

            @Override
            public boolean refused() {
                return ledger.find(submission.id()).isEmpty() && overLimit(submission, route);
            }
        };
        Future<ConditionalWriter.Result> appended =
                writer(submission.id()).submit(changeName(submission.id()), change, timeout);
        appended.onSuccess(result -> {
            if (result != ConditionalWriter.Result.UNKNOWN) {
                deleteUnused(submission.id(), parts);
            }
        });
        return appended.map(result -> switch (result) {
            case DONE -> Acceptance.ACCEPTED;
            case REFUSED -> Acceptance.OVER_LIMIT;
            case NOT_APPENDED -> outcomeWithoutAppend(submission.id());
            case UNKNOWN -> Acceptance.UNKNOWN;
        });
    }

    /** Deletes the payloads among those written for a job that no record refers to. */
    private void deleteUnused(String job, List<JobPart> written) {
        Set<Long> used = new HashSet<>();
        ledger.find(job)
                .ifPresent(known -> known.readParts()
                        .forEach(part -> used.add(part.getPayload().getNonce())));
        written.stream()
                .filter(part ->
                        part.hasPayload() && !used.contains(part.getPayload().getNonce()))
                .forEach(part -> payloads.delete(JobRecords.key(part), part.getPayload()));
    }

    /**
     * Returns an item with its content.
     *
     * @param index index of an item that was read
     * @return a future that fails with a {@link StoreException} if the store does not return the content
     */
    public Future<JobItem> item(Job job, int index) {
        JobPart part = job.partOf(index);
        if (!part.hasPayload()) {
            return Future.succeededFuture(job.item(index).orElseThrow());
        }
        return payloads.read(JobRecords.key(part), part.getPayload()).compose(content -> {
            try {
                return Future.succeededFuture(JobItems.parseFrom(content).getItems(index - part.getFirstItem()));
            } catch (InvalidProtocolBufferException | IndexOutOfBoundsException e) {
                return Future.failedFuture(new StoreException(
                        StoreException.Reason.MALFORMED, "content of " + JobRecords.key(part) + ": " + e.getMessage()));
            }
        });
    }

    /**
     * Returns the results of a job from a position on, with their outputs, as many as fit into a response.
     *
     * @return a future that fails with a {@link StoreException} if the output of the first one can't be read
     */
    public Future<List<ItemResult>> results(Job job, int from) {
        List<Future<ItemResult>> reads = new ArrayList<>();
        int bytes = 0;
        for (ItemResult result : job.resultsFrom(from)) {
            bytes += result.getPayload().getBytes() + result.getOutputBytes().size();
            if (!reads.isEmpty() && bytes > MAX_RESPONSE_BYTES) {
                break;
            }
            reads.add(readOutput(result));
        }
        return Future.join(reads).transform(done -> {
            List<ItemResult> results = new ArrayList<>();
            for (Future<ItemResult> read : reads) {
                if (read.failed() && results.isEmpty()) {
                    return Future.failedFuture(read.cause());
                }
                if (read.failed()) {
                    break;
                }
                results.add(read.result());
            }
            return Future.succeededFuture(results);
        });
    }

    private Future<ItemResult> readOutput(ItemResult result) {
        if (!result.hasPayload()) {
            return Future.succeededFuture(result);
        }
        return payloads.read(JobRecords.resultKey(result.getJob(), result.getItem()), result.getPayload())
                .map(output -> result.toBuilder()
                        .setOutputBytes(ByteString.copyFrom(output))
                        .build());
    }

    /**
     * Cancels a job. The cancellation of an unknown job is recorded as well, because a submission that is still on its
     * way, such as one in the socket of a suspended node, must find it.
     *
     * @return false if it was not confirmed in time, or if too many unknown jobs have been cancelled lately, by all
     *     callers or by those of the job's workspace
     */
    public Future<Boolean> cancel(String job, Duration timeout) {
        ConditionalWriter.Change change = new ConditionalWriter.Change() {
            @Override
            public Optional<List<KeyedRecord>> records(ConditionalWriter.Reservations reservations) {
                boolean cancelled = ledger.find(job)
                        .map(Job::cancelled)
                        .orElseGet(() -> ledger.endedBeforeJob(job) || !JobRecords.validId(job));
                if (cancelled) {
                    return Optional.of(List.of());
                }
                return Optional.of(
                        List.of(JobRecords.cancelled(job, ticker.now().toEpochMilli())));
            }

            @Override
            public boolean refused() {
                return ledger.find(job).isEmpty() && !ledger.endedBeforeJob(job) && !ledger.hasRoomForEnd(job);
            }
        };
        return writer(job).submit("end/" + job, change, timeout).map(result -> result == ConditionalWriter.Result.DONE);
    }

    /** Deletes the record of the end of a job that was never submitted; false if not confirmed in time. */
    public Future<Boolean> deleteEnd(String job) {
        return writer(job)
                .submit(
                        "end deletion/" + job,
                        reservations -> Optional.of(
                                ledger.endedBeforeJob(job) ? List.of(JobRecords.endDeletion(job)) : List.of()),
                        WRITE_TIMEOUT)
                .map(result -> result == ConditionalWriter.Result.DONE);
    }

    /** Appends the result of an item unless it has one or the job was cancelled; false if not confirmed in time. */
    public Future<Boolean> addResult(ItemRef item, boolean completed, String output) {
        submittedResults.add(item);
        Timers.Timer delayed = timers.after(RESULT_DELAY, () -> logDelayed(item));
        return submitResult(item, completed, output)
                .onFailure(failure -> logNotRecorded(item, failure.getMessage()))
                .recover(failure -> Future.succeededFuture(false))
                .onComplete(added -> {
                    delayed.cancel();
                    submittedResults.remove(item);
                });
    }

    private void logDelayed(ItemRef item) {
        int partition = partition(item.job());
        log.event(
                ServingEvent.RESULT_DELAYED,
                "job",
                item.job(),
                "index",
                item.index(),
                "changes",
                writers.get(partition).waiting(),
                "offset",
                followers.get(partition).nextOffset(),
                "lastFailure",
                writers.get(partition).lastFailure().orElse(null),
                "payloadFailure",
                payloads.lastFailure().orElse(null),
                "ms",
                RESULT_DELAY.toMillis());
    }

    private void logNotRecorded(ItemRef item, String cause) {
        log.event(ServingEvent.RESULT_NOT_RECORDED, "job", item.job(), "index", item.index(), "cause", cause);
    }

    /** Returns whether a result of the item that this node has submitted waits for the store. */
    public boolean resultSubmitted(ItemRef item) {
        return submittedResults.contains(item);
    }

    private Future<Boolean> submitResult(ItemRef item, boolean completed, String output) {
        ItemResult.Builder result =
                ItemResult.newBuilder().setJob(item.job()).setItem(item.index()).setCompleted(completed);
        byte[] content = output.getBytes(StandardCharsets.UTF_8);
        if (content.length <= MAX_INLINE_BYTES) {
            return appendResult(item, result.setOutput(output));
        }
        return payloads.write(item.job(), JobRecords.resultKey(item.job(), item.index()), content, WRITE_TIMEOUT)
                .compose(ref -> appendResult(item, result.setPayload(ref)));
    }

    private Future<Boolean> appendResult(ItemRef item, ItemResult.Builder result) {
        ConditionalWriter.Change change = reservations -> {
            Optional<Job> job = ledger.find(item.job());
            if (job.isEmpty() || job.get().hasResult(item.index()) || job.get().cancelled()) {
                return Optional.of(List.of());
            }
            if (reservations.take("result/" + item) > 0) {
                return Optional.empty();
            }
            int position = job.get().resultCount() + reservations.take("results/" + item.job());
            return Optional.of(
                    List.of(JobRecords.result(result.setPosition(position).build())));
        };
        return writer(item.job())
                .submit("result/" + item, change, WRITE_TIMEOUT)
                .map(outcome -> {
                    boolean unused =
                            outcome != ConditionalWriter.Result.UNKNOWN && !refersTo(item, result.getPayload());
                    if (result.hasPayload() && unused) {
                        payloads.delete(JobRecords.resultKey(item.job(), item.index()), result.getPayload());
                    }
                    if (outcome != ConditionalWriter.Result.DONE) {
                        logNotRecorded(item, outcome.name());
                    }
                    return outcome == ConditionalWriter.Result.DONE;
                });
    }

    private boolean refersTo(ItemRef item, PayloadRef payload) {
        return ledger.find(item.job())
                .flatMap(job -> job.result(item.index()))
                .map(known -> known.getPayload().equals(payload))
                .orElse(false);
    }

    /** Deletes all records of a job; false if not confirmed in time. */
    public Future<Boolean> delete(String job) {
        return writer(job)
                .submit(
                        "deletion/" + job,
                        reservations -> Optional.of(
                                ledger.find(job).map(JobRecords::deletions).orElse(List.of())),
                        WRITE_TIMEOUT)
                .map(result -> {
                    if (result == ConditionalWriter.Result.DONE) {
                        payloads.deleteAll(job);
                    }
                    return result == ConditionalWriter.Result.DONE;
                });
    }

    /** Returns the number of failed runs of an item that are recorded or that this node has submitted. */
    public int failures(ItemRef item) {
        int recorded =
                ledger.find(item.job()).map(job -> job.failures(item.index())).orElse(0);
        return Math.max(recorded, submittedFailures.getOrDefault(item, 0));
    }

    /** Increments the failure count of an item; false if not confirmed in time. */
    public Future<Boolean> addFailure(ItemRef item) {
        int newCount = failures(item) + 1;
        submittedFailures.put(item, newCount);
        ConditionalWriter.Change change = reservations -> {
            Optional<Job> job = ledger.find(item.job());
            if (job.isEmpty() || job.get().hasResult(item.index()) || job.get().failures(item.index()) >= newCount) {
                return Optional.of(List.of());
            }
            return Optional.of(List.of(JobRecords.failures(ItemFailures.newBuilder()
                    .setJob(item.job())
                    .setItem(item.index())
                    .setFailures(newCount)
                    .build())));
        };
        return writer(item.job())
                .submit("failures/" + item + "/" + newCount, change, WRITE_TIMEOUT)
                .map(result -> result == ConditionalWriter.Result.DONE);
    }
}
