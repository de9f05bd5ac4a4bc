package dev.lavenderline.peer;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A TCP proxy that can make its open connections silent: it then reads and drops all bytes and forwards no close, like
 * a middlebox that lost its connection state.
 */
final class Relay implements AutoCloseable {
    private final ServerSocket serverSocket = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    private final List<ProxiedConnection> connections = new CopyOnWriteArrayList<>();
    private final int targetPort;

    Relay(int targetPort) throws IOException {
        this.targetPort = targetPort;
        startThread(this::accept);
    }

    String address() {
        return "127.0.0.1:" + serverSocket.getLocalPort();
    }

    /** Returns the number of connections accepted so far. */
    int acceptedCount() {
        return connections.size();
    }

    /** Drops all bytes on the open connections in the chosen directions; new connections are not affected. */
    void silence(boolean toTarget, boolean fromTarget) {
        connections.forEach(connection -> {
            connection.dropsToTarget |= toTarget;
            connection.dropsFromTarget |= fromTarget;
        });
    }

    @Override
    public void close() throws IOException {
        serverSocket.close();
        for (ProxiedConnection connection : connections) {
            connection.clientSocket.close();
            connection.targetSocket.close();
        }
    }

    private void accept() {
        try {
            while (true) {
                ProxiedConnection connection =
                        new ProxiedConnection(serverSocket.accept(), new Socket("127.0.0.1", targetPort));
                connections.add(connection);
                startThread(() -> connection.forward(connection.clientSocket, connection.targetSocket, true));
                startThread(() -> connection.forward(connection.targetSocket, connection.clientSocket, false));
            }
        } catch (IOException e) {
            if (!serverSocket.isClosed()) {
                throw new UncheckedIOException(e);
            }
        }
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    private static final class ProxiedConnection {
        final Socket clientSocket;
        final Socket targetSocket;
        volatile boolean dropsToTarget;
        volatile boolean dropsFromTarget;

        ProxiedConnection(Socket clientSocket, Socket targetSocket) {
            this.clientSocket = clientSocket;
            this.targetSocket = targetSocket;
        }

        void forward(Socket from, Socket to, boolean isToTarget) {
            byte[] buffer = new byte[8192];
            try {
                InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream();
                for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                    if (!isDropping(isToTarget)) {
                        out.write(buffer, 0, read);
                    }
                }
            } catch (IOException e) {
                // One side closed its connection; the close is forwarded below.
            }
            if (dropsToTarget || dropsFromTarget) {
                return;
            }
            try {
                to.close();
                from.close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        private boolean isDropping(boolean isToTarget) {
            return isToTarget ? dropsToTarget : dropsFromTarget;
        }
    }
}
