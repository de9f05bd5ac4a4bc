package dev.lavenderline.core.overload;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.impl.HttpServerConnection;
import io.vertx.core.net.NetSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Guards the connections of one listener: bounds their number and enforces the limits on each.
 *
 * <p>Not thread-safe; confined to the event loop of the listener.
 */
public final class ListenerGuard {
    /** Time between two enforcements above which the process did not run. */
    private static final Duration MAX_PERIOD = Duration.ofMillis(1500);

    private final String name;
    private final HoldingAccount account;
    private final int maxConnections;
    private final Supplier<ConnectionLimits> limits;
    private final Set<GuardedConnection> connections = new LinkedHashSet<>();
    private RefusalResponse response = RefusalResponse.PLAIN_TEXT;
    private long lastEnforcedNanos;

    /**
     * Creates a guard.
     *
     * @param name name of the listener in metrics and log lines
     * @param maxConnections connections that may be open at once
     * @param limits limits in force on each connection
     */
    public ListenerGuard(String name, HoldingAccount account, int maxConnections, Supplier<ConnectionLimits> limits) {
        this.name = name;
        this.account = account;
        this.maxConnections = maxConnections;
        this.limits = limits;
        this.lastEnforcedNanos = account.nanos();
    }

    /** Sets the response to refused requests; default {@link RefusalResponse#PLAIN_TEXT}. */
    public ListenerGuard respondWith(RefusalResponse newResponse) {
        response = newResponse;
        return this;
    }

    /** Guards a connection that has just been accepted; call it from the server's connection handler. */
    public void accepted(HttpConnection connection) {
        ChannelHandlerContext context = ((HttpServerConnection) connection).channelHandlerContext();
        ConnectionGuard guard = new ConnectionGuard(this, context.channel());
        if (admit(guard)) {
            guard.install(context);
        } else {
            context.channel().close();
        }
    }

    /** Guards a connection between nodes; returns empty, and closes it, if there is no room. */
    public Optional<FrameGuard> accepted(NetSocket socket) {
        FrameGuard guard = new FrameGuard(this, socket);
        if (!admit(guard)) {
            socket.close();
            return Optional.empty();
        }
        account.add(guard);
        if (!guard.charge()) {
            guard.giveUp(RefusalReason.MEMORY);
            guard.closed();
            return Optional.empty();
        }
        return Optional.of(guard);
    }

    private boolean admit(GuardedConnection guard) {
        if (connections.size() >= maxConnections && !closeOne()) {
            report(RefusalReason.CONNECTIONS, guard);
            return false;
        }
        connections.add(guard);
        return true;
    }

    /**
     * Charges memory that the program needs for the request that it works on, until the end of the response; returns
     * false if there is no room.
     */
    public boolean charge(HttpConnection connection, long bytes) {
        ConnectionGuard guard = guardOf(connection);
        if (guard.charge(bytes)) {
            return true;
        }
        report(RefusalReason.MEMORY, guard);
        return false;
    }

    /**
     * Sets what makes the program drop what it has received of the newest request of a connection; run when the request
     * is rejected, and when the connection closes. Until then, what has been received is charged.
     */
    public void onGivenUp(HttpConnection connection, Runnable drop) {
        guardOf(connection).onGivenUp(drop);
    }

    private static ConnectionGuard guardOf(HttpConnection connection) {
        return ((HttpServerConnection) connection)
                .channelHandlerContext()
                .channel()
                .attr(ConnectionGuard.KEY)
                .get();
    }

    private boolean closeOne() {
        List<GuardedConnection> all = new ArrayList<>(connections);
        long now = account.nanos();
        List<Holding> holdings = all.stream().map(guard -> guard.holding(now)).toList();
        OptionalInt chosen = OverloadPolicy.closeForConnection(holdings);
        chosen.ifPresent(i -> all.get(i).giveUp(RefusalReason.CONNECTIONS));
        return chosen.isPresent();
    }

    /**
     * Closes connections whose time is up; call it about once a second. Does nothing in the first call after the
     * process has not run for a while, when bytes that were sent in time have not been read yet.
     */
    public void enforceTimes() {
        long now = account.nanos();
        boolean suspended = now - lastEnforcedNanos > MAX_PERIOD.toNanos();
        lastEnforcedNanos = now;
        if (!suspended) {
            ConnectionLimits current = limits.get();
            List.copyOf(connections).forEach(guard -> guard.enforceTimes(now, current));
        }
    }

    /** Returns the number of open connections. */
    public int connections() {
        return connections.size();
    }

    HoldingAccount account() {
        return account;
    }

    ConnectionLimits limits() {
        return limits.get();
    }

    ByteBuf response(RefusalReason reason) {
        return response.encode(reason);
    }

    void closed(GuardedConnection guard) {
        connections.remove(guard);
    }

    void report(RefusalReason reason, GuardedConnection guard) {
        account.listener().refused(name, reason, guard.peer(), guard.charged());
    }
}
