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
 * TCP connections to other nodes, with at most one in use for each node.
 *
 * <p>Frames are delivered at most once, and in the order of sending within a connection; frames in transit may be lost
 * when their connection closes. A connection on which no frame arrives for 1.5 s is replaced. Public methods are
 * thread-safe. Internal state is confined to one Netty event loop; listener and heartbeat supplier are called through
 * the executor, which must run tasks in order.
 *
 * <pre>{@code
 * PeerMesh mesh = PeerMesh.builder()
 *         .cluster("production")
 *         .self(Hello.newBuilder().setNode("node-3").setIncarnation(id).setRegion("north").build())
 *         .bind("10.0.0.3", 7070)
 *         .executor(eventLoop)
 *         .heartbeat(() -> Heartbeat.newBuilder().addAllMembers(members.nextViews(1)).build())
 *         .listener(listener)
 *         .start();
 * mesh.setTargetAddresses(members.neighbours(Members.MAX_NEIGHBOURS));
 * }</pre>
 */
public final class PeerMesh {
    /** Protocol version; connections to nodes of other versions are refused. */
    public static final int PROTOCOL_VERSION = 1;

    /** Maximum size of a frame in bytes, without its length prefix. */
    public static final int MAX_FRAME_BYTES = 1 << 20;

    static final Duration RECEIVE_TIMEOUT = Duration.ofMillis(1_500);
    // Longer than RECEIVE_TIMEOUT: a peer acknowledges a heartbeat in its own next one, up to 500 ms later.
    static final Duration ACKNOWLEDGEMENT_TIMEOUT = Duration.ofMillis(2_000);
    static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(500);
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration MIN_BACKOFF = Duration.ofMillis(100);
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(2);
    // A connection that missed two heartbeats is not kept over a new one.
    private static final Duration STALE_AFTER = Duration.ofSeconds(1);
    private static final WriteBufferWaterMark WATER_MARK =
            new WriteBufferWaterMark(MAX_FRAME_BYTES, 2 * MAX_FRAME_BYTES);

    // Counts frames queued for the event loop by their size; Netty's default estimate for them is 8 bytes.
    private static final MessageSizeEstimator FRAME_SIZE_ESTIMATOR = () -> message -> message instanceof Frame frame
            ? frame.getSerializedSize()
            : DefaultMessageSizeEstimator.DEFAULT.newHandle().size(message);

    private final Executor executor;
    private final Ticker ticker;
    private final PeerListener listener;
    private final Supplier<Heartbeat> heartbeatSupplier;
    private final UniformRandomProvider random;
    private final PeerMetrics metrics;
    private final EventLoopGroup group;
    private final EventLoop eventLoop;
    private final Bootstrap clientBootstrap;
    private final Channel serverChannel;
    private final Frame helloFrame;

    // By node name; written on the event loop, read by senders on any thread.
    private final Map<String, Connection> peers = new ConcurrentHashMap<>();
    private final Set<Connection> connections = new HashSet<>();
    // By address.
    private final Map<String, Connector> connectors = new HashMap<>();
    private boolean isStopped;

    private PeerMesh(Builder builder) {
        executor = builder.executor;
        ticker = builder.ticker;
        listener = builder.listener;
        heartbeatSupplier = builder.heartbeat;
        random = builder.random;
        metrics = new PeerMetrics(builder.registry);
        group = new MultiThreadIoEventLoopGroup(
                1, new DefaultThreadFactory("peer-" + builder.self.getNode(), true), NioIoHandler.newFactory());
        eventLoop = group.next();
        clientBootstrap = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                .option(ChannelOption.MESSAGE_SIZE_ESTIMATOR, FRAME_SIZE_ESTIMATOR)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis());
        ChannelFuture bound = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                .childOption(ChannelOption.MESSAGE_SIZE_ESTIMATOR, FRAME_SIZE_ESTIMATOR)
                .childHandler(pipeline(() -> new Connection(this, "")))
                // Accepting begins in start(), once the Hello of this node is known.
                .option(ChannelOption.AUTO_READ, false)
                .bind(builder.host, builder.port)
                .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
            throw new UncheckedIOException(
                    new IOException("cannot listen on " + builder.host + ":" + builder.port, bound.cause()));
        }
        serverChannel = bound.channel();
        Hello.Builder ownHello =
                builder.self.toBuilder().setVersion(PROTOCOL_VERSION).setCluster(builder.cluster);
        if (ownHello.getAddress().isEmpty()) {
            ownHello.setAddress(builder.host + ":" + port());
        }
        helloFrame = Frame.newBuilder().setHello(ownHello).build();
    }

    /** Returns a builder. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the port that the mesh listens on. */
    public int port() {
        return ((InetSocketAddress) serverChannel.localAddress()).getPort();
    }

    /** Returns the Hello that this node sends to its peers. */
    public Hello self() {
        return helloFrame.getHello();
    }

    /** Returns the names of the connected nodes. */
    public Set<String> connectedNodes() {
        return Set.copyOf(peers.keySet());
    }

    /**
     * Replaces the set of addresses to which this node connects. Existing connections to other addresses stay open
     * until the peer or a failure closes them.
     */
    public void setTargetAddresses(Set<String> addresses) {
        Set<String> targets = new HashSet<>(addresses);
        targets.remove(self().getAddress());
        targets.forEach(PeerMesh::parseAddress);
        if (group.isShuttingDown()) {
            return;
        }
        eventLoop.execute(() -> {
            connectors.keySet().retainAll(targets);
            targets.forEach(address -> connectors.computeIfAbsent(address, Connector::new));
            maintainConnections();
        });
    }

    /**
     * Sends a frame to a node. A true result does not mean that the frame arrives.
     *
     * @return false if the node is not connected or its outbound buffer is above the high-water mark
     * @throws IllegalArgumentException if the frame exceeds {@link #MAX_FRAME_BYTES}
     */
    public boolean send(String node, Frame frame) {
        checkFrameSize(frame);
        return send(peers.get(node), frame);
    }

    /** Sends a frame to all connected nodes and returns the number sent; throws like {@link #send}. */
    public int broadcast(Frame frame) {
        checkFrameSize(frame);
        int sent = 0;
        for (Connection connection : peers.values()) {
            sent += send(connection, frame) ? 1 : 0;
        }
        return sent;
    }

    /** Closes all connections and stops the event loop. Idempotent. */
    public CompletionStage<Void> stop() {
        CompletableFuture<Void> stopped = new CompletableFuture<>();
        if (!group.isShuttingDown()) {
            eventLoop.execute(() -> {
                isStopped = true;
                serverChannel.close();
                List.copyOf(connections).forEach(Connection::close);
                Logger.info("{} {} stopped", PeerEvent.STOPPED, self().getNode());
                group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            });
        }
        group.terminationFuture().addListener(done -> stopped.complete(null));
        return stopped;
    }

    Frame helloFrame() {
        return helloFrame;
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
        runCallback(() -> listener.received(peer, frame));
    }

    /** Puts a connection whose Hello is valid into use, unless an existing one to the same peer is kept. */
    void handshakeCompleted(Connection connection) {
        Hello peer = connection.peerHello();
        Connector connector = connectors.get(connection.targetAddress());
        if (connector != null) {
            connector.handshakeCompleted(peer.getNode());
        }
        Connection current = peers.get(peer.getNode());
        if (current != null && current.peerHello().getIncarnation().equals(peer.getIncarnation())) {
            if (keepsCurrent(current, connection)) {
                Logger.debug("{} closing duplicate connection to {}", PeerEvent.DUPLICATE, connection);
                connection.close();
                return;
            }
            peers.put(peer.getNode(), connection);
            Logger.debug("{} closing duplicate connection to {}", PeerEvent.DUPLICATE, current);
            current.close();
            return;
        }
        peers.put(peer.getNode(), connection);
        if (current != null) {
            Hello previous = current.peerHello();
            runCallback(() -> listener.disconnected(previous));
            current.close();
        }
        Logger.info("{} connected to {}", PeerEvent.CONNECTED, connection);
        runCallback(() -> listener.connected(peer));
    }

    void closed(Connection connection) {
        if (!connections.remove(connection)) {
            return;
        }
        Hello peer = connection.peerHello();
        if (peer != null && peers.remove(peer.getNode(), connection)) {
            Logger.info("{} disconnected from {}", PeerEvent.DISCONNECTED, connection);
            runCallback(() -> listener.disconnected(peer));
        }
        Connector connector = connectors.get(connection.targetAddress());
        if (connector != null && connection.isOutbound()) {
            connector.scheduleRetry();
        }
    }

    private void start() {
        Logger.info("{} {} listens on {}", PeerEvent.LISTENING, self().getNode(), self().getAddress());
        serverChannel.config().setAutoRead(true);
        long heartbeatMs = HEARTBEAT_INTERVAL.toMillis();
        long checkMs = CHECK_INTERVAL.toMillis();
        eventLoop.scheduleAtFixedRate(this::sendHeartbeats, heartbeatMs, heartbeatMs, TimeUnit.MILLISECONDS);
        eventLoop.scheduleAtFixedRate(this::maintainConnections, checkMs, checkMs, TimeUnit.MILLISECONDS);
    }

    private void sendHeartbeats() {
        if (peers.isEmpty()) {
            return;
        }
        runCallback(() -> {
            Heartbeat next = heartbeatSupplier.get();
            if (!group.isShuttingDown()) {
                eventLoop.execute(() -> peers.values().forEach(connection -> connection.sendHeartbeat(next)));
            }
        });
    }

    private void maintainConnections() {
        if (isStopped) {
            return;
        }
        List.copyOf(connections).forEach(Connection::closeIfUnresponsive);
        connectors.values().forEach(Connector::attempt);
    }

    /**
     * Returns whether the current connection to an incarnation of a peer is kept rather than a new one. Both sides
     * decide alike: of two connections in opposite directions, they keep the one opened by the node with the smaller
     * name.
     */
    private boolean keepsCurrent(Connection current, Connection added) {
        if (current.nanosSinceLastFrame() >= STALE_AFTER.toNanos() || current.isOutbound() == added.isOutbound()) {
            return false;
        }
        boolean isOwnNameSmaller =
                self().getNode().compareTo(current.peerHello().getNode()) < 0;
        return current.isOutbound() == isOwnNameSmaller;
    }

    private boolean send(Connection connection, Frame frame) {
        if (connection == null || !connection.send(frame)) {
            metrics.framesRejected.inc();
            return false;
        }
        return true;
    }

    private void runCallback(Runnable task) {
        try {
            executor.execute(() -> {
                try {
                    task.run();
                } catch (RuntimeException e) {
                    Logger.error(
                            e,
                            "{} the peer listener or heartbeat supplier threw an exception",
                            PeerEvent.CALLBACK_FAILED);
                }
            });
        } catch (RejectedExecutionException e) {
            Logger.debug("{} the callback executor rejected a task", PeerEvent.CALLBACK_FAILED);
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

    private static void checkFrameSize(Frame frame) {
        if (frame.getSerializedSize() > MAX_FRAME_BYTES) {
            throw new IllegalArgumentException("frame of " + frame.getSerializedSize() + " bytes exceeds the limit of "
                    + MAX_FRAME_BYTES + " bytes");
        }
    }

    private static InetSocketAddress parseAddress(String address) {
        int colon = address.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("address has no port: " + address);
        }
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    /** Keeps one address connected, with jittered exponential backoff. Confined to the event loop. */
    private final class Connector {
        private final String address;
        /** The node last reached at this address; empty before the first success. */
        private String node = "";
        /** Whether a connection to this address is being opened or is open. */
        private boolean isOpen;

        private int failures;
        private long nextAttemptNanos = nanos();

        Connector(String address) {
            this.address = address;
        }

        void attempt() {
            if (isOpen || nanos() - nextAttemptNanos < 0 || isConnected()) {
                return;
            }
            isOpen = true;
            clientBootstrap
                    .clone()
                    .handler(pipeline(() -> new Connection(PeerMesh.this, address)))
                    .connect(parseAddress(address))
                    .addListener((ChannelFuture connected) -> {
                        if (!connected.isSuccess()) {
                            attemptFailed(connected.cause());
                        }
                    });
        }

        private boolean isConnected() {
            return peers.containsKey(node)
                    || peers.values().stream()
                            .anyMatch(connection ->
                                    connection.peerHello().getAddress().equals(address));
        }

        void handshakeCompleted(String peerNode) {
            node = peerNode;
            failures = 0;
        }

        private void attemptFailed(Throwable cause) {
            if (failures == 0) {
                Logger.warn("{} cannot connect to {}: {}", PeerEvent.UNREACHABLE, address, cause.getMessage());
            }
            scheduleRetry();
        }

        /** Schedules the next attempt, after a random delay between half of the backoff and all of it. */
        void scheduleRetry() {
            isOpen = false;
            long backoff = Math.min(MAX_BACKOFF.toNanos(), MIN_BACKOFF.toNanos() << Math.min(failures, 10));
            failures++;
            nextAttemptNanos = nanos() + backoff / 2 + random.nextLong(backoff / 2 + 1);
        }
    }

    /** Builds and starts a mesh. */
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

        /** Sets the name of the cluster; connections to nodes of other clusters are refused. */
        public Builder cluster(String name) {
            cluster = Objects.requireNonNull(name);
            return this;
        }

        /** Sets the Hello of this node; version and cluster are filled in, and the bound address if it has none. */
        public Builder self(Hello hello) {
            self = Objects.requireNonNull(hello);
            return this;
        }

        /** Sets the host and port to listen on; port 0 picks a free port. */
        public Builder bind(String bindHost, int bindPort) {
            host = Objects.requireNonNull(bindHost);
            port = bindPort;
            return this;
        }

        /** Sets the executor of all callbacks, which must run tasks in order. */
        public Builder executor(Executor callbacks) {
            executor = Objects.requireNonNull(callbacks);
            return this;
        }

        /** Sets the clock for timeouts and backoff. */
        public Builder ticker(Ticker source) {
            ticker = Objects.requireNonNull(source);
            return this;
        }

        /** Sets the listener for connections and frames. */
        public Builder listener(PeerListener receiver) {
            listener = Objects.requireNonNull(receiver);
            return this;
        }

        /** Sets the supplier of heartbeats; the mesh fills in sequence and acknowledgement for each peer. */
        public Builder heartbeat(Supplier<Heartbeat> supplier) {
            heartbeat = Objects.requireNonNull(supplier);
            return this;
        }

        /** Sets the registry for the counters {@code peer.*}. */
        public Builder metrics(MetricRegistry metrics) {
            registry = Objects.requireNonNull(metrics);
            return this;
        }

        /** Sets the random generator for the backoff jitter. */
        public Builder random(UniformRandomProvider generator) {
            random = Objects.requireNonNull(generator);
            return this;
        }

        /**
         * Returns a started mesh; blocks until the port is bound.
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
