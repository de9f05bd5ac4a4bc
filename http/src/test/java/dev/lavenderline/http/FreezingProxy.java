package dev.lavenderline.http;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A TCP proxy that can permanently stop forwarding on its established connections while new connections work. */
final class FreezingProxy {
    private final NetServer server;
    private final Set<NetSocket> activeClients = ConcurrentHashMap.newKeySet();
    final AtomicInteger connections = new AtomicInteger();

    FreezingProxy(Vertx vertx, int targetPort) {
        server = vertx.createNetServer().connectHandler(clientSocket -> {
            connections.incrementAndGet();
            clientSocket.pause();
            clientSocket.exceptionHandler(broken -> {});
            vertx.createNetClient().connect(targetPort, "127.0.0.1").onSuccess(targetSocket -> {
                targetSocket.exceptionHandler(broken -> {});
                activeClients.add(clientSocket);
                clientSocket.handler(data -> relay(clientSocket, targetSocket, data));
                targetSocket.handler(data -> relay(clientSocket, clientSocket, data));
                clientSocket.closeHandler(closed -> targetSocket.close());
                targetSocket.closeHandler(closed -> {
                    if (activeClients.remove(clientSocket)) {
                        clientSocket.close();
                    }
                });
                clientSocket.resume();
            });
        });
        server.listen(0, "127.0.0.1").await();
    }

    private void relay(NetSocket clientSocket, NetSocket destination, io.vertx.core.buffer.Buffer data) {
        if (activeClients.contains(clientSocket)) {
            destination.write(data);
        }
    }

    int port() {
        return server.actualPort();
    }

    /** From now on drops all data of the connections established so far, without closing them. */
    void freeze() {
        activeClients.clear();
    }
}
