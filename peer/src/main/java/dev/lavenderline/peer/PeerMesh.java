package dev.lavenderline.peer;

import com.codahale.metrics.MetricRegistry;
import dev.lavenderline.core.Ticker;
import dev.lavenderline.proto.peer.Frame;
import dev.lavenderline.proto.peer.Heartbeat;
import dev.lavenderline.proto.peer.Hello;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.DefaultMessageSizeEstimator;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MessageSizeEstimator;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.tinylog.Logger;

/**
 * TCP connections to other nodes, at most one used for each of them.
 *
 * <p>Frames are delivered at most once and in the order of sending as long as a connection lasts; a frame can be lost
 * with its connection. A connection without any frame for 1.5 s is replaced. Public methods are thread-safe. Own state is
 * confined to one Netty event loop; listener and heartbeat supplier are called through the executor, which must run tasks
 * in order.
 *
 * <pre>{@code
 * PeerMesh mesh = PeerMesh.builder()
 *         .cluster("moor")
 *         .self(Hello.newBuilder().setNode("entry-3").setIncarnation(id).setRegion("north-moor").build())
 *         .bind("10.0.0.3", 7070)
 *         .executor(eventLoop)
 *         .heartbeat(() -> Heartbeat.newBuilder().addAllMembers(members.views(1)).build())
 *         .listener(listener)
 *         .start();
 * mesh.connect(members.neighbours(Members.MAX_NEIGHBOURS));
 * }</pre>
 */
public final class PeerMesh {
    /** Version of the protocol; nodes of other versions are refused. */
    public static final int PROTOCOL_VERSION = 1;

    /** Longest frame in bytes, without its length. */
    public static final int MAX_FRAME_BYTES = 1 << 20;

    static final Duration SILENCE_LIMIT = Duration.ofMillis(1_500);
    // The answer to a heartbeat comes with the next one of the peer, up to 500 ms later, so this limit is longer.
    static final Duration ACKNOWLEDGEMENT_LIMIT = Duration.ofMillis(2_000);
    static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(500);
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration MIN_BACKOFF = Duration.ofMillis(100);
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(2);
    // Of two connections, one that missed two heartbeats is not preferred.
    private static final Duration FRESH = Duration.ofSeconds(1);
    private static final WriteBufferWaterMark WATER_MARK =
            new WriteBufferWaterMark(MAX_FRAME_BYTES, 2 * MAX_FRAME_BYTES);

    // Frames that wait for the event loop count with their size; Netty's own estimate for them is 8 bytes.
    private static final MessageSizeEstimator FRAME_SIZE = () -> message -> message instanceof Frame frame
            ? frame.getSerializedSize()
            : DefaultMessageSizeEstimator.DEFAULT.newHandle().size(message);

    private final Executor executor;
    private final Ticker ticker;
    private final PeerListener listener;
    private final Supplier<Heartbeat> heartbeat;
    private final UniformRandomProvider random;
    private final PeerMetrics metrics;
    private final EventLoopGroup group;
    private final EventLoop loop;
    private final Bootstrap dialler;
    private final Channel server;
    private final Frame hello;

    // Written on the event loop, read by senders on any thread.
    private final Map<String, Connection> peers = new ConcurrentHashMap<>();
    private final Set<Connection> connections = new HashSet<>();
    private final Map<String, Dial> dials = new HashMap<>();
    private boolean isStopped;

    private PeerMesh(Builder builder) {
        executor = builder.executor;
        ticker = builder.ticker;
        listener = builder.listener;
        heartbeat = builder.heartbeat;
        random = builder.random;
        metrics = new PeerMetrics(builder.registry);
        group = new MultiThreadIoEventLoopGroup(
                1, new DefaultThreadFactory("peer-" + builder.self.getNode(), true), NioIoHandler.newFactory());
        loop = group.next();
        dialler = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                .option(ChannelOption.MESSAGE_SIZE_ESTIMATOR, FRAME_SIZE)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis());
        ChannelFuture bound = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                .childOption(ChannelOption.MESSAGE_SIZE_ESTIMATOR, FRAME_SIZE)
                .childHandler(pipeline(() -> new Connection(this, "")))
                // Accepts nothing before the Hello of this node is known.
                .option(ChannelOption.AUTO_READ, false)
                .bind(builder.host, builder.port)
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
            throw new UncheckedIOException(
                    new IOException("cannot listen on " + builder.host + ":" + builder.port, bound.cause()));
        }
        server = bound.channel();
        Hello.Builder introduction =
                builder.self.toBuilder().setVersion(PROTOCOL_VERSION).setCluster(builder.cluster);
        if (introduction.getAddress().isEmpty()) {
            introduction.setAddress(builder.host + ":" + port());
        }
        hello = Frame.newBuilder().setHello(introduction).build();
    }

    /** Returns a builder. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the port on which the mesh listens. */
    public int port() {
        return ((InetSocketAddress) server.localAddress()).getPort();
    }

    /** Returns the Hello that this node sends. */
    public Hello self() {
        return hello.getHello();
    }

    /** Returns the nodes that are connected, by name. */
    public Set<String> connected() {
        return Set.copyOf(peers.keySet());
    }

    /**
     * Replaces the addresses to which this node connects. Present connections to other addresses stay open until the
     * other side or a failure closes them.
     */
    public void connect(Set<String> addresses) {
        Set<String> wanted = new HashSet<>(addresses);
        wanted.remove(self().getAddress());
        wanted.forEach(PeerMesh::parse);
        if (group.isShuttingDown()) {
            return;
        }
        loop.execute(() -> {
            dials.keySet().retainAll(wanted);
            wanted.forEach(address -> dials.computeIfAbsent(address, Dial::new));
            maintain();
        });
    }

    /**
     * Sends a frame to a node. A true result does not mean that the frame arrives.
     *
     * @return false if the node is not connected or its outbound buffer is above the high-water mark
     * @throws IllegalArgumentException if the frame is longer than {@link #MAX_FRAME_BYTES}
     */
    public boolean send(String node, Frame frame) {
        requireShort(frame);
        return send(peers.get(node), frame);
    }

    /** Sends a frame to all connected nodes and returns to how many; fails like {@link #send}. */
    public int broadcast(Frame frame) {
        requireShort(frame);
        int sent = 0;
        for (Connection connection : peers.values()) {
            sent += send(connection, frame) ? 1 : 0;
        }
        return sent;
    }

    /** Closes all connections and ends the event loop. Idempotent. */
    public CompletionStage<Void> stop() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        if (!group.isShuttingDown()) {
            loop.execute(() -> {
                isStopped = true;
                server.close();
                List.copyOf(connections).forEach(Connection::close);
                Logger.info("{} {} stopped", PeerEvent.STOPPED, self().getNode());
                group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            });
        }
        group.terminationFuture().addListener(done -> stopped.complete(null));
        return stopped;
    }

    Frame hello() {
        return hello;
    }

    PeerMetrics metrics() {
        return metrics;
    }

    long nanos() {
        return ticker.nanos();
    }

    void opened(Connection connection) {
        connections.add(connection);
        if (isStopped) {
            connection.close();
        }
    }

    void received(Hello peer, Frame frame) {
        call(() -> listener.received(peer, frame));
    }

    /** Decides which connection to the peer is used. */
    void introduced(Connection connection) {
        Hello peer = connection.peer();
        Dial dial = dials.get(connection.dialled());
        if (dial != null) {
            dial.succeeded(peer.getNode());
        }
        Connection current = peers.get(peer.getNode());
        if (current != null && current.peer().getIncarnation().equals(peer.getIncarnation())) {
            if (prefers(current, connection)) {
                Logger.debug("{} second connection to {}", PeerEvent.DUPLICATE, connection);
                connection.close();
                return;
            }
            peers.put(peer.getNode(), connection);
            Logger.debug("{} second connection to {}", PeerEvent.DUPLICATE, current);
            current.close();
            return;
        }
        peers.put(peer.getNode(), connection);
        if (current != null) {
            Hello former = current.peer();
            call(() -> listener.disconnected(former));
            current.close();
        }
        Logger.info("{} connected to {}", PeerEvent.CONNECTED, connection);
        call(() -> listener.connected(peer));
    }

    void closed(Connection connection) {
        if (!connections.remove(connection)) {
            return;
        }
        Hello peer = connection.peer();
        if (peer != null && peers.remove(peer.getNode(), connection)) {
            Logger.info("{} disconnected from {}", PeerEvent.DISCONNECTED, connection);
            call(() -> listener.disconnected(peer));
        }
        Dial dial = dials.get(connection.dialled());
        if (dial != null && connection.isDialled()) {
            dial.ended();
        }
    }

    private void start() {
        Logger.info("{} {} listens on {}", PeerEvent.LISTENING, self().getNode(), self().getAddress());
        server.config().setAutoRead(true);
        long heartbeatMs = HEARTBEAT_INTERVAL.toMillis();
        long checkMs = CHECK_INTERVAL.toMillis();
        loop.scheduleAtFixedRate(this::heartbeat, heartbeatMs, heartbeatMs, TimeUnit.MILLISECONDS);
        loop.scheduleAtFixedRate(this::maintain, checkMs, checkMs, TimeUnit.MILLISECONDS);
    }

    private void heartbeat() {
        if (peers.isEmpty()) {
            return;
        }
        call(() -> {
            Heartbeat next = heartbeat.get();
            if (!group.isShuttingDown()) {
                loop.execute(() -> peers.values().forEach(connection -> connection.sendHeartbeat(next)));
            }
        });
    }

    private void maintain() {
        if (isStopped) {
            return;
        }
        List.copyOf(connections).forEach(Connection::check);
        dials.values().forEach(Dial::attempt);
    }

    /**
     * Returns whether the current connection to a run of a peer is kept instead of a new one. Both sides come to the same
     * result: of two connections in opposite directions, the one that the node with the smaller name dialled is kept.
     */
    private boolean prefers(Connection current, Connection other) {
        if (current.silence() >= FRESH.toNanos() || current.isDialled() == other.isDialled()) {
            return false;
        }
        boolean isSmaller = self().getNode().compareTo(current.peer().getNode()) < 0;
        return current.isDialled() == isSmaller;
    }

    private boolean send(Connection connection, Frame frame) {
        if (connection == null || !connection.send(frame)) {
            metrics.framesRejected.inc();
            return false;
        }
        return true;
    }

    private void call(Runnable task) {
        try {
            executor.execute(() -> {
                try {
                    task.run();
                } catch (RuntimeException e) {
                    Logger.error(e, "{} a callback of the peer connections failed", PeerEvent.CALLBACK_FAILED);
                }
            });
        } catch (RejectedExecutionException e) {
            Logger.debug("{} the executor is closed", PeerEvent.CALLBACK_FAILED);
        }
    }

    private ChannelInitializer<Channel> pipeline(Supplier<Connection> connection) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new FrameDecoder(metrics), new FrameEncoder(metrics), connection.get());
            }
        };
    }

    private static void requireShort(Frame frame) {
        if (frame.getSerializedSize() > MAX_FRAME_BYTES) {
            throw new IllegalArgumentException(
                    "frame of " + frame.getSerializedSize() + " bytes is longer than " + MAX_FRAME_BYTES);
        }
    }

    private static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("address without port: " + address);
        }
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    /** Attempts to reach one address, with jittered exponential backoff. Confined to the event loop. */
    private final class Dial {
        private final String address;
        private String node = "";
        private boolean isOpen;
        private int failures;
        private long notBefore = nanos();

        Dial(String address) {
            this.address = address;
        }

        void attempt() {
            if (isOpen || nanos() - notBefore < 0 || isConnected()) {
                return;
            }
            isOpen = true;
            dialler.clone()
                    .handler(pipeline(() -> new Connection(PeerMesh.this, address)))
                    .connect(parse(address))
                    .addListener((ChannelFuture connected) -> {
                        if (!connected.isSuccess()) {
                            failed(connected.cause());
                        }
                    });
        }

        private boolean isConnected() {
            return peers.containsKey(node)
                    || peers.values().stream()
                            .anyMatch(
                                    connection -> connection.peer().getAddress().equals(address));
        }

        void succeeded(String peer) {
            node = peer;
            failures = 0;
        }

        private void failed(Throwable cause) {
            if (failures == 0) {
                Logger.warn("{} cannot connect to {}: {}", PeerEvent.UNREACHABLE, address, cause.getMessage());
            }
            ended();
        }

        /** Plans the next attempt; the delay is between half of the backoff and the whole one. */
        void ended() {
            isOpen = false;
            long backoff = Math.min(MAX_BACKOFF.toNanos(), MIN_BACKOFF.toNanos() << Math.min(failures, 10));
            failures++;
            notBefore = nanos() + backoff / 2 + random.nextLong(backoff / 2 + 1);
        }
    }

    /** Collects the settings of a mesh. */
    public static final class Builder {
        private String cluster = "";
        private Hello self = Hello.getDefaultInstance();
        private String host = "127.0.0.1";
        private int port;
        private Executor executor;
        private Ticker ticker = Ticker.system();
        private PeerListener listener = (peer, frame) -> {};
        private Supplier<Heartbeat> heartbeat = Heartbeat::getDefaultInstance;
        private MetricRegistry registry = new MetricRegistry();
        private UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create();

        private Builder() {}

        /** Sets the name of the cluster; nodes of other clusters are refused. */
        public Builder cluster(String name) {
            cluster = Objects.requireNonNull(name);
            return this;
        }

        /** Sets what the node tells of itself; an empty address is replaced by the address bound. */
        public Builder self(Hello hello) {
            self = Objects.requireNonNull(hello);
            return this;
        }

        /** Sets where to listen; port 0 takes a free one. */
        public Builder bind(String bindHost, int bindPort) {
            host = Objects.requireNonNull(bindHost);
            port = bindPort;
            return this;
        }

        /** Sets the executor of all callbacks; must run tasks in order. */
        public Builder executor(Executor callbacks) {
            executor = Objects.requireNonNull(callbacks);
            return this;
        }

        /** Sets the source of time for silence and backoff. */
        public Builder ticker(Ticker source) {
            ticker = Objects.requireNonNull(source);
            return this;
        }

        /** Sets the listener. */
        public Builder listener(PeerListener receiver) {
            listener = Objects.requireNonNull(receiver);
            return this;
        }

        /** Sets the supplier of heartbeats; sequence and acknowledgement are filled in for each peer. */
        public Builder heartbeat(Supplier<Heartbeat> supplier) {
            heartbeat = Objects.requireNonNull(supplier);
            return this;
        }

        /** Sets the registry of the counters {@code peer.*}. */
        public Builder metrics(MetricRegistry metrics) {
            registry = Objects.requireNonNull(metrics);
            return this;
        }

        /** Sets the random generator of the backoff. */
        public Builder random(UniformRandomProvider generator) {
            random = Objects.requireNonNull(generator);
            return this;
        }

        /**
         * Listens and starts. Blocks until the port is bound.
         *
         * @throws IllegalArgumentException if cluster, node, incarnation or executor is missing
         * @throws UncheckedIOException if the port cannot be bound
         */
        public PeerMesh start() {
            if (cluster.isEmpty()
                    || self.getNode().isEmpty()
                    || self.getIncarnation().isEmpty()
                    || executor == null) {
                throw new IllegalArgumentException("cluster, node, incarnation and executor are required: cluster '"
                        + cluster + "', node '" + self.getNode() + "', incarnation '" + self.getIncarnation() + "'");
            }
            PeerMesh mesh = new PeerMesh(this);
            mesh.start();
            return mesh;
        }
    }
}
