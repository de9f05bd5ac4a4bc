package dev.lavenderline.http;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A TCP proxy whose established connections can go silent for good while new ones work. */
final class FreezingProxy {
    private final NetServer server;
    private final Set<NetSocket> relayed = ConcurrentHashMap.newKeySet();
    final AtomicInteger connections = new AtomicInteger();

    FreezingProxy(Vertx vertx, int targetPort) {
        server = vertx.createNetServer().connectHandler(near -> {
            connections.incrementAndGet();
            near.pause();
            near.exceptionHandler(broken -> {});
            vertx.createNetClient().connect(targetPort, "127.0.0.1").onSuccess(far -> {
                far.exceptionHandler(broken -> {});
                relayed.add(near);
                near.handler(data -> relay(near, far, data));
                far.handler(data -> relay(near, near, data));
                near.closeHandler(closed -> far.close());
                far.closeHandler(closed -> {
                    if (relayed.remove(near)) {
                        near.close();
                    }
                });
                near.resume();
            });
        });
        server.listen(0, "127.0.0.1").await();
    }

    private void relay(NetSocket near, NetSocket to, io.vertx.core.buffer.Buffer data) {
        if (relayed.contains(near)) {
            to.write(data);
        }
    }

    int port() {
        return server.actualPort();
    }

    /** Drops everything from now on that arrives on the connections established so far. */
    void freeze() {
        relayed.clear();
    }
}
