package dev.lavenderline.standins.platform;

import dev.lavenderline.standins.platform.AnswerPlan.Ending;
import dev.lavenderline.standins.platform.AnswerPlan.Framing;
import dev.lavenderline.standins.platform.HttpMessages.Head;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A connection to an engine: serves one request after the other and sends second answers between them.
 *
 * <p>The thread that calls {@link #serve} runs the requests; {@link #reset} may be called by any thread. Writes of
 * whole messages are guarded by the lock of the output.
 */
final class EngineConnection {
    private static final int POLL_MS = 3;
    private static final int RUN_BODY_BYTES = 800;
    private static final long DEFAULT_DEADLINE_MS = 5000;

    /** A second answer that waits for its place. */
    private record Pending(SecondAnswer place, int dueExchange, byte[] bytes, String requestId, boolean hasId) {}

    /** Thrown where the plan of an answer ends the connection. */
    private static final class PlannedReset extends IOException {
        private static final long serialVersionUID = 1;

        PlannedReset() {
            super("ended as planned");
        }
    }

    private final EngineStandin engine;
    private final Socket socket;
    private final String name;
    private final List<Pending> pending = new ArrayList<>();
    private InputStream in = InputStream.nullInputStream();
    private OutputStream out = OutputStream.nullOutputStream();
    private int exchange;
    private boolean busy;

    EngineConnection(EngineStandin engine, Socket socket, String name) {
        this.engine = engine;
        this.socket = socket;
        this.name = name;
    }

    /** Closes a connection so that the peer sees a reset. */
    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // The connection has ended already.
        }
    }

    void reset() {
        reset(socket);
    }

    /** Serves requests until the connection ends. */
    void serve() {
        try (socket) {
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
            boolean open = true;
            while (open) {
                socket.setSoTimeout((int) engine.spec().keepAlive().toMillis());
                Head head = HttpMessages.readHead(in);
                synchronized (this) {
                    busy = true;
                    exchange++;
                }
                byte[] body = HttpMessages.readRequestBody(in, head);
                open = respond(head, body);
                synchronized (this) {
                    busy = false;
                }
            }
        } catch (IOException | InterruptedException e) {
            // The peer closed the connection, or it was idle for too long.
            record("", "connection " + name + " ends after " + exchange + " requests: " + e.getMessage());
        }
    }

    private void record(String requestId, String text) {
        engine.history().record(requestId.isEmpty() ? List.of(name) : List.of(name, requestId), text);
    }

    private boolean respond(Head head, byte[] body) throws IOException, InterruptedException {
        String id = head.header("Request-Id");
        if (id.isEmpty() && head.startLine().startsWith("GET /health ")) {
            write(head(
                    engine.draining() ? 503 : 200,
                    "Instance-Id: " + engine.spec().id() + "\r\n",
                    "Content-Length: 0"));
            return true;
        }
        record(
                id,
                name + " request " + exchange + " is " + id + " " + head.startLine() + ", " + body.length + " bytes"
                        + (head.headers().containsKey("Last-Event-Id")
                                ? ", Last-Event-Id " + head.header("Last-Event-Id")
                                : ""));
        if (id.isEmpty()) {
            write(head(400, "Not-Executed: 1\r\n", "Content-Length: 0"));
            return true;
        }
        String expected = head.header("Expected-Instance");
        if (!expected.isEmpty() && !expected.equals(engine.spec().id())) {
            return refuse(id, 421);
        }
        if (engine.refusing() || engine.waiting().get() >= engine.spec().queue()) {
            return refuse(id, 503);
        }
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(deadlineMillis(head));
        engine.waiting().incrementAndGet();
        try {
            while (!engine.slots().tryAcquire(0, TimeUnit.MILLISECONDS)) {
                if (System.nanoTime() > end) {
                    return refuse(id, 503);
                }
                awaitClose(POLL_MS);
            }
        } finally {
            engine.waiting().decrementAndGet();
        }
        try {
            return run(id, head, end);
        } finally {
            engine.slots().release();
        }
    }

    private static long deadlineMillis(Head head) {
        String text = head.header("Request-Deadline");
        return text.isEmpty() ? DEFAULT_DEADLINE_MS : (long) Double.parseDouble(text);
    }

    /** Waits, and fails if the peer closes the connection in the meantime. */
    private void awaitClose(long millis) throws IOException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        for (long left = millis; left > 0; left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime())) {
            socket.setSoTimeout((int) left);
            in.mark(1);
            try {
                if (in.read() < 0) {
                    throw new EOFException("closed by the peer during request " + exchange);
                }
                in.reset();
                TimeUnit.MILLISECONDS.sleep(left);
            } catch (SocketTimeoutException e) {
                return;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException(e);
            }
        }
    }

    private boolean refuse(String id, int status) throws IOException {
        sendPending(SecondAnswer.BEFORE_NEXT);
        AnswerPlan plan = engine.plan(id, exchange);
        byte[] answer =
                head(status, "Not-Executed: 1\r\nRequest-Id: " + id + "\r\n" + keepAlive(), "Content-Length: 0");
        record(id, name + " refuses " + id + " with " + status);
        write(plan.second() == SecondAnswer.BEHIND ? twice(answer, plan) : answer);
        sendPending(SecondAnswer.BEHIND_REFUSAL);
        planSecond(id, plan, answer);
        return true;
    }

    private byte[] twice(byte[] answer, AnswerPlan plan) {
        ByteArrayOutputStream both = new ByteArrayOutputStream();
        both.writeBytes(answer);
        both.writeBytes(secondCopy(answer, plan.secondHasId()));
        return both.toByteArray();
    }

    private static byte[] secondCopy(byte[] answer, boolean hasId) {
        if (hasId) {
            return answer;
        }
        String text = new String(answer, StandardCharsets.ISO_8859_1);
        return text.replaceFirst("Request-Id: [^\r]*\r\n", "").getBytes(StandardCharsets.ISO_8859_1);
    }

    private String keepAlive() {
        return "Keep-Alive: timeout=" + engine.spec().keepAlive().toSeconds() + "\r\n";
    }

    private static byte[] head(int status, String headers, String framing) {
        return ("HTTP/1.1 " + status + " Status\r\n" + headers + framing + (framing.isEmpty() ? "" : "\r\n") + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    private boolean run(String id, Head head, long end) throws IOException {
        AnswerPlan plan = engine.plan(id, exchange);
        String counts = head.header("Token-Counts");
        boolean stream = !counts.isEmpty();
        int lastEvent = stream
                ? Integer.parseInt(counts.substring(counts.indexOf(',') + 1).trim())
                : 0;
        String lastSeen = head.header("Last-Event-Id");
        int firstEvent = lastSeen.isEmpty() ? 1 : Integer.parseInt(lastSeen) + 1;
        awaitClose(engine.spec().firstEvent().toMillis());
        EngineRun run = new EngineRun(
                id,
                engine.spec().id(),
                engine.spec().version(),
                engine.nextStamp(),
                name,
                firstEvent,
                engine.history().seconds());
        engine.history().add(run);
        try {
            return answer(id, run, plan, stream, firstEvent, lastEvent, end);
        } catch (PlannedReset e) {
            run.ended(EngineRun.End.BROKEN, engine.history().seconds());
            throw e;
        } catch (IOException e) {
            run.ended(
                    engine.gone() ? EngineRun.End.BROKEN : EngineRun.End.CANCELLED,
                    engine.history().seconds());
            throw e;
        }
    }

    private boolean answer(
            String id, EngineRun run, AnswerPlan plan, boolean stream, int firstEvent, int lastEvent, long end)
            throws IOException {
        int status = plan.failure() == 0 ? 200 : plan.failure();
        List<byte[]> pieces = new ArrayList<>();
        if (status != 200) {
            pieces.add(("failed " + id + " " + run.stamp()).getBytes(StandardCharsets.UTF_8));
        } else if (stream) {
            for (int event = firstEvent; event <= lastEvent; event++) {
                pieces.add(EngineRun.event(id, event, run.stamp()));
            }
        } else {
            pieces.add((id + "." + run.stamp() + " ")
                    .repeat(RUN_BODY_BYTES / id.length())
                    .getBytes(StandardCharsets.UTF_8));
        }
        Ending ending = status == 200 && pieces.size() > 1 ? plan.ending() : Ending.COMPLETE;
        int sent = ending == Ending.COMPLETE ? pieces.size() : (int) (plan.endAfter() * pieces.size());
        boolean partial = (ending == Ending.RESET_IN_EVENT || ending == Ending.EARLY_IN_EVENT) && sent < pieces.size();
        List<byte[]> parts = new ArrayList<>(pieces.subList(0, sent));
        if (partial) {
            byte[] whole = pieces.get(sent);
            parts.add(java.util.Arrays.copyOf(whole, whole.length / 2));
        }
        boolean resets = ending == Ending.RESET || ending == Ending.RESET_IN_EVENT;
        byte[] body = join(resets ? pieces : parts);
        run.answering(status, body, stream ? lastEvent : 0);
        Framing framing = plan.framing();
        byte[] head = head(
                status,
                "Request-Id: " + id + "\r\nServer-Stamp: " + run.stamp() + "\r\n"
                        + (stream && status == 200 ? "Content-Type: text/event-stream\r\n" : "")
                        + keepAlive(),
                framing == Framing.CHUNKS
                        ? "Transfer-Encoding: chunked"
                        : framing == Framing.LENGTH ? "Content-Length: " + body.length : "");
        sendPending(SecondAnswer.BEFORE_NEXT);
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        writeRecorded(written, head);
        disturb(run, SecondAnswer.AFTER_NEXT_HEAD, framing);
        for (int i = 0; i < parts.size(); i++) {
            if (i > 0) {
                awaitClose(engine.spec().eventInterval().toMillis());
            }
            if (i == parts.size() / 2) {
                disturb(run, SecondAnswer.IN_NEXT_BODY, framing);
            }
            if (System.nanoTime() > end) {
                record(id, name + " ends " + id + " at its deadline");
                throw planReset(framing != Framing.CONNECTION);
            }
            writeRecorded(written, framing == Framing.CHUNKS ? chunk(parts.get(i)) : parts.get(i));
        }
        if (resets) {
            // The end of the connection ends a body without framing, so only a reset tells that the body isn't
            // complete.
            boolean orderly = framing != Framing.CONNECTION && plan.delay().toMillis() % 2 == 0;
            record(id, name + (orderly ? " closes" : " resets") + " the connection in the answer to " + id);
            throw planReset(orderly);
        }
        byte[] ownCopy = copyInOwnBody(plan, head, body);
        if (ownCopy.length > 0) {
            record(id, name + " sends " + plan.second() + " of " + id + ", " + framing);
            run.disturbed("copy " + plan.second() + " in a body of " + framing);
            if (plan.second() == SecondAnswer.EVENTS_AGAIN) {
                run.sentWithin(ownCopy);
            }
            write(framing == Framing.CHUNKS ? chunk(ownCopy) : ownCopy);
        }
        run.ended(
                ending == Ending.COMPLETE ? EngineRun.End.COMPLETE : EngineRun.End.EARLY,
                engine.history().seconds());
        if (framing == Framing.CHUNKS) {
            byte[] lastChunk = "0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);
            written.writeBytes(lastChunk);
            byte[] tail = lastChunk;
            if (plan.second() == SecondAnswer.BEHIND) {
                ByteArrayOutputStream both = new ByteArrayOutputStream();
                both.writeBytes(lastChunk);
                both.writeBytes(secondCopy(written.toByteArray(), plan.secondHasId()));
                tail = both.toByteArray();
                record(id, name + " sends " + plan.second() + " of " + id + (plan.secondHasId() ? "" : " without id"));
            }
            write(tail);
        } else if (plan.second() == SecondAnswer.BEHIND && framing == Framing.LENGTH) {
            record(id, name + " sends " + plan.second() + " of " + id + (plan.secondHasId() ? "" : " without id"));
            write(secondCopy(written.toByteArray(), plan.secondHasId()));
        }
        if (framing == Framing.CONNECTION) {
            return false;
        }
        planSecond(id, plan, written.toByteArray());
        return true;
    }

    /** Prepares the end of the connection: an orderly close, or a reset. */
    private PlannedReset planReset(boolean orderly) throws IOException {
        if (!orderly) {
            socket.setSoLinger(true, 0);
        }
        return new PlannedReset();
    }

    private static byte[] copyInOwnBody(AnswerPlan plan, byte[] head, byte[] body) {
        boolean fits = plan.second() == SecondAnswer.IN_OWN_BODY && plan.framing() == Framing.CONNECTION
                || plan.second() == SecondAnswer.EVENTS_AGAIN && plan.framing() != Framing.LENGTH;
        if (!fits) {
            return new byte[0];
        }
        return plan.second() == SecondAnswer.IN_OWN_BODY ? join(List.of(head, body)) : body;
    }

    /** Sends a second answer at a place within the answer to this run. */
    private void disturb(EngineRun run, SecondAnswer place, Framing framing) throws IOException {
        List<Pending> due = duePending(place);
        sendPending(place);
        if (!due.isEmpty()) {
            boolean named = due.stream().allMatch(Pending::hasId);
            run.disturbed(
                    "copy of another answer " + (named ? "" : "without id ") + place + ", in a body of " + framing);
        }
    }

    private void planSecond(String id, AnswerPlan plan, byte[] answer) {
        SecondAnswer place = plan.second();
        if (place == SecondAnswer.NONE || place == SecondAnswer.BEHIND) {
            return;
        }
        byte[] copy = secondCopy(answer, plan.secondHasId());
        if (place == SecondAnswer.IDLE) {
            engine.timers()
                    .schedule(
                            () -> sendIdle(id, copy, plan.secondHasId()),
                            plan.delay().toMillis(),
                            TimeUnit.MILLISECONDS);
            return;
        }
        int distance = place == SecondAnswer.BEFORE_THIRD ? 3 : 1;
        SecondAnswer due = place == SecondAnswer.BEFORE_THIRD ? SecondAnswer.BEFORE_NEXT : place;
        pending.add(new Pending(due, exchange + distance, copy, id, plan.secondHasId()));
    }

    private synchronized void sendIdle(String id, byte[] copy, boolean hasId) {
        if (busy || socket.isClosed()) {
            return;
        }
        try {
            record(id, name + " sends IDLE of " + id + (hasId ? "" : " without id"));
            write(copy);
        } catch (IOException e) {
            // The peer has closed the connection.
        }
    }

    private List<Pending> duePending(SecondAnswer place) {
        return pending.stream()
                .filter(next -> next.place() == place && next.dueExchange() <= exchange)
                .toList();
    }

    private void sendPending(SecondAnswer place) throws IOException {
        for (Pending next : duePending(place)) {
            pending.remove(next);
            record(
                    next.requestId(),
                    name + " sends " + place + " of " + next.requestId() + (next.hasId() ? "" : " without id")
                            + " during request " + exchange);
            write(next.bytes());
        }
    }

    private void writeRecorded(ByteArrayOutputStream written, byte[] bytes) throws IOException {
        written.writeBytes(bytes);
        write(bytes);
    }

    private void write(byte[] bytes) throws IOException {
        synchronized (this) {
            out.write(bytes);
            out.flush();
        }
    }

    private static byte[] chunk(byte[] bytes) {
        return join(List.of(
                (Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1),
                bytes,
                "\r\n".getBytes(StandardCharsets.ISO_8859_1)));
    }

    private static byte[] join(List<byte[]> parts) {
        ByteArrayOutputStream joined = new ByteArrayOutputStream();
        parts.forEach(joined::writeBytes);
        return joined.toByteArray();
    }
}
