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
 * Forwards TCP connections and can make the present ones silent: it then reads and drops all bytes and forwards no close,
 * like a middlebox that lost its connection state.
 */
final class Relay implements AutoCloseable {
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    private final List<Link> links = new CopyOnWriteArrayList<>();
    private final int target;

    Relay(int target) throws IOException {
        this.target = target;
        start(this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Returns how many connections were accepted so far. */
    int accepted() {
        return links.size();
    }

    /** Drops everything on the present connections in the chosen directions; new connections work. */
    void silence(boolean toTarget, boolean fromTarget) {
        links.forEach(link -> {
            link.dropsToTarget |= toTarget;
            link.dropsFromTarget |= fromTarget;
        });
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Link link : links) {
            link.near.close();
            link.far.close();
        }
    }

    private void accept() {
        try {
            while (true) {
                Link link = new Link(server.accept(), new Socket("127.0.0.1", target));
                links.add(link);
                start(() -> link.pump(link.near, link.far, true));
                start(() -> link.pump(link.far, link.near, false));
            }
        } catch (IOException e) {
            if (!server.isClosed()) {
                throw new UncheckedIOException(e);
            }
        }
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "relay");
        thread.setDaemon(true);
        thread.start();
    }

    private static final class Link {
        final Socket near;
        final Socket far;
        volatile boolean dropsToTarget;
        volatile boolean dropsFromTarget;

        Link(Socket near, Socket far) {
            this.near = near;
            this.far = far;
        }

        void pump(Socket from, Socket to, boolean isToTarget) {
            byte[] buffer = new byte[8192];
            try {
                InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream();
                for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                    if (!drops(isToTarget)) {
                        out.write(buffer, 0, read);
                    }
                }
            } catch (IOException e) {
                // An end closed its connection; the close is forwarded below.
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

        private boolean drops(boolean isToTarget) {
            return isToTarget ? dropsToTarget : dropsFromTarget;
        }
    }
}
