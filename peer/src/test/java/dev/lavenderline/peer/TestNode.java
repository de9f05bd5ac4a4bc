package dev.lavenderline.peer;

import static org.awaitility.Awaitility.await;

import com.codahale.metrics.MetricRegistry;
import dev.lavenderline.proto.peer.ConfigPull;
import dev.lavenderline.proto.peer.Frame;
import dev.lavenderline.proto.peer.Hello;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** A mesh on the loopback interface that records its callbacks. */
final class TestNode implements PeerListener, AutoCloseable {
    static final Duration TIMEOUT = Duration.ofSeconds(10);

    final ExecutorService executor;
    final MetricRegistry metrics = new MetricRegistry();
    /** The incarnations of peers, prefixed with + when they connected and - when they disconnected. */
    final List<String> events = new CopyOnWriteArrayList<>();

    final List<Frame> frames = new CopyOnWriteArrayList<>();
    final PeerMesh mesh;

    TestNode(String cluster, String node, String incarnation, int port) {
        executor = Executors.newSingleThreadExecutor(task -> {
            Thread thread = new Thread(task, "callbacks-" + incarnation);
            thread.setDaemon(true);
            return thread;
        });
        mesh = PeerMesh.builder()
                .cluster(cluster)
                .self(Hello.newBuilder()
                        .setNode(node)
                        .setIncarnation(incarnation)
                        .build())
                .bind("127.0.0.1", port)
                .executor(executor)
                .listener(this)
                .metrics(metrics)
                .start();
    }

    TestNode(String node) {
        this("moor", node, node + "1", 0);
    }

    /** Returns a ConfigPull frame, which tests tell apart by its offset. */
    static Frame pullFrame(long offset) {
        return Frame.newBuilder()
                .setConfigPull(ConfigPull.newBuilder().setFromOffset(offset))
                .build();
    }

    static void awaitUntil(Callable<Boolean> condition) {
        await().atMost(TIMEOUT).pollInterval(Duration.ofMillis(5)).until(condition);
    }

    String address() {
        return mesh.self().getAddress();
    }

    long counter(String name) {
        return metrics.counter("peer." + name).getCount();
    }

    /** Returns the offsets of the ConfigPull frames received, in order of arrival. */
    List<Long> pulledOffsets() {
        return frames.stream()
                .filter(Frame::hasConfigPull)
                .map(frame -> frame.getConfigPull().getFromOffset())
                .toList();
    }

    void connect(TestNode... others) {
        mesh.setTargetAddresses(
                Set.copyOf(List.of(others).stream().map(TestNode::address).toList()));
    }

    @Override
    public void connected(Hello peer) {
        events.add("+" + peer.getIncarnation());
    }

    @Override
    public void disconnected(Hello peer) {
        events.add("-" + peer.getIncarnation());
    }

    @Override
    public void received(Hello peer, Frame frame) {
        frames.add(frame);
    }

    @Override
    public void close() {
        mesh.stop().toCompletableFuture().join();
        executor.shutdownNow();
    }
}
