package dev.lavenderline.serving.online;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/**
 * An upstream that answers HTTP/1.1 requests byte by byte from a plan, which may break the protocol in any way. The
 * plan of a request is the one that was registered for its id. Thread-safe.
 */
final class HostileUpstream {
    /** Ways to mark the end of a body. */
    enum Framing {
        LENGTH,
        CHUNKS,
        CLOSE
    }

    /** Deviations from the protocol. */
    enum Fault {
        NONE,
        /** Closes the connection in the middle. */
        CUT,
        /** Sends a second copy of the response at once. */
        COPY,
        /** Sends a second copy of the previous response before this one. */
        LATE_COPY,
        /** Sends another response before this one. */
        EXTRA_BEFORE_HEAD,
        /** Sends another response behind an interim one and before this one. */
        EXTRA_BEHIND_INTERIM_RESPONSE,
        /** Sends another response between the head and the body of this one. */
        EXTRA_BEFORE_BODY,
        /** Sends another response at a point within the body of this one. */
        EXTRA_IN_BODY,
        /** Sends another response at once behind this one. */
        EXTRA_BEHIND,
        /** Sends another response on the connection while it may be idle or carry the next request. */
        EXTRA_LATE,
        /** Rejects the request and sends another response behind that. */
        REJECTION_THEN_EXTRA,
        WRONG_ID,
        NO_ID,
        INTERIM_RESPONSES,
        GARBAGE_BEFORE_HEAD,
        GARBAGE_IN_BODY_FRAMING,
        ENDLESS_HEAD,
        ENDLESS_INTERIM_RESPONSES,
        ENDLESS_BODY,
        ENDLESS_CHUNK_SIZE,
        ENDLESS_TRAILER,
        ENDLESS_REJECTION
    }

    /** What another response on the connection says. */
    enum Kind {
        REJECTION("503 Full\r\nNot-Run: 1"),
        MISDIRECTED("421 Misdirected Request\r\nNot-Run: 1"),
        FAILURE("500 Internal Server Error"),
        SUCCESS("200 OK");

        final String start;

        Kind(String start) {
            this.start = start;
        }
    }

    /** Whose id another response on the connection has. */
    enum Owner {
        /** The request before; this request if the response comes within or behind this one's. */
        CARRIED,
        ANOTHER_CONNECTION,
        NONE
    }

    /**
     * Another response on the connection.
     *
     * @param again whether the request is sent again under its id after it, and answered in full then
     */
    record Extra(Kind kind, Owner owner, boolean again) {
        static final Extra REJECTION_WITHOUT_ID = new Extra(Kind.REJECTION, Owner.NONE, false);

        String bytes(String id) {
            String idLine = switch (owner) {
                case CARRIED -> "id: " + id + "\r\n";
                case ANOTHER_CONNECTION -> "id: elsewhere\r\n";
                case NONE -> "";
            };
            return "HTTP/1.1 " + kind.start + "\r\n" + idLine
                    + "Keep-Alive: timeout=5\r\nContent-Length: 5\r\n\r\nextra";
        }
    }

    /**
     * How a request is answered.
     *
     * @param bodyLength length of the body, in bytes
     * @param cutAt share of the response, in percent, after which {@link Fault#CUT} closes the connection
     * @param pieces number of pieces in which the response is written
     * @param extra the other response of the faults that name one
     */
    record Plan(Framing framing, Fault fault, int bodyLength, int cutAt, int pieces, Extra extra) {
        Plan(Framing framing, Fault fault, int bodyLength, int cutAt, int pieces) {
            this(framing, fault, bodyLength, cutAt, pieces, Extra.REJECTION_WITHOUT_ID);
        }

        /** Returns the point within the body at which {@link Fault#EXTRA_IN_BODY} sends another response. */
        int extraAt() {
            return bodyLength * cutAt / 100;
        }

        /** Returns whether bytes are sent until the caller closes the connection. */
        boolean endless() {
            return fault.name().startsWith("ENDLESS");
        }
    }

    private static final Buffer FILLER = Buffer.buffer("x".repeat(16 * 1024));

    final int port;
    final AtomicInteger endlessInProgress = new AtomicInteger();
    private final Vertx vertx;
    private final ConcurrentHashMap<String, Plan> plans = new ConcurrentHashMap<>();

    HostileUpstream(Vertx vertx) {
        this.vertx = vertx;
        port = vertx.createNetServer()
                .connectHandler(socket -> new Connection(socket))
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .join()
                .actualPort();
    }

    void plan(String id, Plan plan) {
        plans.put(id, plan);
    }

    /** Returns the body of the complete response to a request, which no other response contains. */
    static String body(String id, int length) {
        return (id + ";").repeat(length / (id.length() + 1) + 1).substring(0, length);
    }

    private final class Connection {
        final NetSocket socket;
        final Queue<Buffer> pieces = new ArrayDeque<>();
        String previous = "";
        String previousId = "none";
        Runnable onSent = () -> {};
        boolean sending;
        boolean closed;

        Connection(NetSocket socket) {
            this.socket = socket;
            socket.exceptionHandler(failure -> {});
            socket.closeHandler(ended -> closed = true);
            socket.handler(bytes -> bytes.toString(StandardCharsets.UTF_8)
                    .lines()
                    .filter(line -> line.startsWith("id: "))
                    .findFirst()
                    .ifPresent(line -> answer(line.substring("id: ".length()))));
        }

        void answer(String id) {
            Plan plan = plans.get(id);
            String whole = response(plan, id);
            switch (plan.fault()) {
                case CUT -> send(whole.substring(0, whole.length() * plan.cutAt() / 100), plan.pieces(), true);
                case COPY -> send(whole + whole, plan.pieces(), plan.framing() == Framing.CLOSE);
                case LATE_COPY -> send(previous + whole, plan.pieces(), plan.framing() == Framing.CLOSE);
                case EXTRA_BEFORE_HEAD ->
                    send(plan.extra().bytes(previousId) + whole, plan.pieces(), plan.framing() == Framing.CLOSE);
                case EXTRA_BEHIND_INTERIM_RESPONSE ->
                    send(
                            "HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n"
                                    + plan.extra().bytes(previousId) + whole,
                            plan.pieces(),
                            plan.framing() == Framing.CLOSE);
                case EXTRA_BEHIND ->
                    send(whole + plan.extra().bytes(id), plan.pieces(), plan.framing() == Framing.CLOSE);
                case EXTRA_LATE -> {
                    onSent = () -> vertx.setTimer(1, later -> {
                        if (!sending && !closed) {
                            socket.write(plan.extra().bytes(id));
                        }
                    });
                    send(whole, plan.pieces(), plan.framing() == Framing.CLOSE);
                }
                case REJECTION_THEN_EXTRA ->
                    send(
                            new Extra(Kind.REJECTION, Owner.CARRIED, false).bytes(id)
                                    + plan.extra().bytes(id),
                            plan.pieces(),
                            false);
                case GARBAGE_BEFORE_HEAD -> send("\u0001\u0002 no answer\r\n\r\n" + whole, plan.pieces(), true);
                case INTERIM_RESPONSES ->
                    send(
                            "HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n".repeat(3) + whole,
                            plan.pieces(),
                            plan.framing() == Framing.CLOSE);
                case ENDLESS_HEAD -> endless("HTTP/1.1 200 OK\r\nid: " + id + "\r\nx: ", FILLER);
                case ENDLESS_INTERIM_RESPONSES ->
                    endless("", Buffer.buffer("HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n".repeat(400)));
                case ENDLESS_BODY -> endless("HTTP/1.1 200 OK\r\nid: " + id + "\r\n\r\n", FILLER);
                case ENDLESS_CHUNK_SIZE ->
                    endless(
                            "HTTP/1.1 200 OK\r\nid: " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n",
                            Buffer.buffer("0".repeat(16 * 1024)));
                case ENDLESS_TRAILER ->
                    endless(
                            "HTTP/1.1 200 OK\r\nid: " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
                            Buffer.buffer(("x: " + "y".repeat(100) + "\r\n").repeat(100)));
                case ENDLESS_REJECTION ->
                    endless(
                            "HTTP/1.1 503 Full\r\nid: " + id + "\r\nNot-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
                            chunkOf(FILLER));
                default ->
                    send(
                            whole,
                            plan.pieces(),
                            plan.framing() == Framing.CLOSE || plan.fault() == Fault.GARBAGE_IN_BODY_FRAMING);
            }
            previous = whole;
            previousId = id;
        }

        private void send(String text, int pieceCount, boolean close) {
            sending = true;
            int size = Math.max(1, text.length() / pieceCount);
            for (int at = 0; at < text.length(); at += size) {
                pieces.add(Buffer.buffer(text.substring(at, Math.min(text.length(), at + size))));
            }
            sendNext(close);
        }

        private void sendNext(boolean close) {
            Buffer next = pieces.poll();
            if (next == null) {
                sending = false;
                if (close) {
                    socket.close();
                }
                Runnable action = onSent;
                onSent = () -> {};
                action.run();
                return;
            }
            socket.write(next).onSuccess(sent -> sendNext(close));
        }

        private void endless(String start, Buffer filler) {
            endlessInProgress.incrementAndGet();
            socket.write(start);
            repeat(filler);
        }

        private void repeat(Buffer filler) {
            if (closed) {
                endlessInProgress.decrementAndGet();
                return;
            }
            socket.write(filler).onComplete(sent -> vertx.runOnContext(later -> repeat(filler)));
        }
    }

    private static Buffer chunkOf(Buffer data) {
        return Buffer.buffer(Integer.toHexString(data.length()) + "\r\n")
                .appendBuffer(data)
                .appendString("\r\n");
    }

    private static String response(Plan plan, String id) {
        String body = body(id, plan.bodyLength());
        String extra = plan.extra().bytes(id);
        int extraAt = plan.fault() == Fault.EXTRA_BEFORE_BODY ? 0 : plan.extraAt();
        if (plan.fault() == Fault.EXTRA_BEFORE_BODY || plan.fault() == Fault.EXTRA_IN_BODY) {
            body = body.substring(0, extraAt) + extra + body.substring(extraAt);
        }
        int length = plan.bodyLength();
        String idLine = switch (plan.fault()) {
            case WRONG_ID -> "id: other\r\n";
            case NO_ID -> "";
            default -> "id: " + id + "\r\n";
        };
        String head = "HTTP/1.1 200 OK\r\n" + idLine + "Keep-Alive: timeout=5\r\n";
        boolean garbage = plan.fault() == Fault.GARBAGE_IN_BODY_FRAMING;
        Function<String, String> chunk = text -> Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
        return switch (plan.framing()) {
            case LENGTH -> head + "Content-Length: " + (garbage ? "12x" : length) + "\r\n\r\n" + body;
            case CHUNKS ->
                head + "Transfer-Encoding: chunked\r\n\r\n"
                        + (body.isEmpty() ? "" : chunk.apply(body))
                        + (garbage ? "zz\r\n" : "0\r\n\r\n");
            case CLOSE -> head + (garbage ? "Content-Length: -1\r\n" : "") + "Connection: close\r\n\r\n" + body;
        };
    }
}
