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
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

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

    /** Longest time between a part of a head and the answer that follows it. */
    private static final int MAX_PAUSE_MS = 60;

    /** Share of answers in place of a body's end that replace a whole event. */
    private static final double WHOLE_PART_SHARE = 0.3;

    private static final int FAILED = 500;

    /** How the line of the last chunk may go on behind its size. */
    private static final List<String> BEHIND_LAST_SIZE = List.of("", " ", ";", "\r");

    /** A second answer that waits for its place. */
    private record Pending(
            SecondAnswer place, int dueExchange, byte[] bytes, String requestId, boolean hasId, String description) {}

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
        boolean full =
                engine.refusing() || engine.waiting().get() >= engine.spec().queue();
        if (full || engine.plan(id, exchange).failure() == AnswerPlan.REJECTED) {
            return refuse(id, AnswerPlan.REJECTED);
        }
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(deadlineMillis(head));
        engine.waiting().incrementAndGet();
        try {
            while (!engine.slots().tryAcquire(0, TimeUnit.MILLISECONDS)) {
                if (System.nanoTime() > end) {
                    return refuse(id, AnswerPlan.REJECTED);
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
        String cutCopy = sendCutCopy(plan);
        if (!cutCopy.isEmpty()) {
            engine.history().disturbedRejection(id, cutCopy + ", before a rejection");
        }
        if (plan.second() == SecondAnswer.BEHIND_PART_OF_HEAD) {
            engine.history().disturbedRejection(id, sendPartOfHead(id, plan, status, answer));
        }
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
            parts.add(Arrays.copyOf(whole, whole.length / 2));
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
        run.disturbed(sendCutCopy(plan));
        if (plan.second() == SecondAnswer.BEHIND_PART_OF_HEAD) {
            run.disturbed(sendPartOfHead(id, plan, status, head));
        } else if (plan.second() == SecondAnswer.CUT_HEAD) {
            run.disturbed("head cut within " + plan.cut() + ", then closed");
            throw endWith(id, plan, plan.cut().firstPart(head, plan.cutAt()));
        } else if (plan.second() == SecondAnswer.FIELDS_MISSING) {
            run.disturbed("head without its last fields, then closed");
            throw endWith(id, plan, withoutLastFields(head, plan.cutAt()));
        }
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
            byte[] part = framing == Framing.CHUNKS ? chunk(parts.get(i)) : parts.get(i);
            if (plan.second() == SecondAnswer.BEHIND_SHORT_BODY && i == parts.size() - 1) {
                run.ended(EngineRun.End.COMPLETE, engine.history().seconds());
                sendInPlaceOfEnd(run, plan, part, parts.get(i).length);
                return true;
            }
            writeRecorded(written, part);
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
        if (plan.second() == SecondAnswer.IN_TRAILERS || plan.second() == SecondAnswer.BEHIND_LAST_SIZE) {
            sendBehindLastSize(run, plan);
            return true;
        }
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

    /** Sends copies of earlier answers that are cut within their heads; returns what was sent, empty if nothing. */
    private String sendCutCopy(AnswerPlan plan) throws IOException {
        List<Pending> due = duePending(SecondAnswer.CUT_BEFORE_NEXT);
        if (due.isEmpty()) {
            return "";
        }
        sendPending(SecondAnswer.CUT_BEFORE_NEXT);
        pause(plan);
        return due.get(0).description();
    }

    /**
     * Sends a part of a head that has another status than the answer that follows it.
     *
     * @return what was sent
     */
    private String sendPartOfHead(String id, AnswerPlan plan, int status, byte[] answer) throws IOException {
        List<Integer> others = Stream.of(200, FAILED, AnswerPlan.REJECTED)
                .filter(other -> other != status)
                .toList();
        int other = others.get((int) (plan.delay().toMillis() % others.size()));
        byte[] part = plan.cut().firstPart(withStatus(answer, other), plan.cutAt());
        record(id, name + " sends a part of a head for " + id + ": " + printable(part));
        write(part);
        pause(plan);
        return "head of " + other + " cut within " + plan.cut() + ", then the whole answer of " + status;
    }

    private static byte[] withStatus(byte[] answer, int status) {
        String text = new String(answer, StandardCharsets.ISO_8859_1).replaceFirst("Not-Executed: 1\r\n", "");
        int lineEnd = text.indexOf("\r\n") + 2;
        String notExecuted = status == AnswerPlan.REJECTED ? "Not-Executed: 1\r\n" : "";
        return ("HTTP/1.1 " + status + " Status\r\n" + notExecuted + text.substring(lineEnd))
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    private void pause(AnswerPlan plan) throws IOException {
        awaitClose(plan.delay().toMillis() % (MAX_PAUSE_MS + 1));
    }

    /** Sends the last bytes of a connection; an orderly close, at once or after a delay, or a reset follows. */
    private PlannedReset endWith(String id, AnswerPlan plan, byte[] last) throws IOException {
        long delay = plan.delay().toMillis();
        boolean later = delay % 3 == 2;
        boolean orderly = later || delay % 3 == 1;
        record(
                id,
                name + " stops and " + (later ? "closes later" : orderly ? "closes" : "resets") + " in the answer to "
                        + id + ": " + printable(last));
        write(last);
        if (later) {
            awaitClose(delay);
        }
        return planReset(orderly);
    }

    /** Returns a head that lacks the last of its fields, at least its framing. */
    private static byte[] withoutLastFields(byte[] head, double keptShare) {
        List<String> lines =
                new String(head, StandardCharsets.ISO_8859_1).lines().toList();
        int fields = lines.size() - 2;
        String kept = String.join("\r\n", lines.subList(0, 1 + (int) (keptShare * fields)));
        return (kept + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String printable(byte[] bytes) {
        return new String(bytes, StandardCharsets.ISO_8859_1)
                .replace("\r", "\\r")
                .replace("\n", "\\n");
    }

    /** Returns an answer to the request of a run with another status than the run's. */
    private byte[] otherAnswer(EngineRun run, AnswerPlan plan) {
        int status = run.status() == 200 ? FAILED : 200;
        String body = "other answer " + run.requestId();
        String headers = "Request-Id: " + run.requestId() + "\r\nServer-Stamp: " + run.stamp() + "\r\n" + keepAlive();
        byte[] head = head(status, headers, "Content-Length: " + body.length());
        byte[] answer = join(List.of(head, body.getBytes(StandardCharsets.ISO_8859_1)));
        return secondCopy(answer, plan.secondHasId());
    }

    /**
     * Sends the last part of a body without its last bytes, then another answer.
     *
     * @param part the part as it is framed
     * @param length length of the part without its framing
     */
    private void sendInPlaceOfEnd(EngineRun run, AnswerPlan plan, byte[] part, int length) throws IOException {
        byte[] other = otherAnswer(run, plan);
        int headLength = new String(other, StandardCharsets.ISO_8859_1).indexOf("\r\n\r\n") + 4;
        int longest = Math.min(length, headLength - 1);
        // A whole event may be lacking, so that the other answer begins between two events.
        int lacking = plan.cutAt() < WHOLE_PART_SHARE ? longest : 1 + (int) (plan.cutAt() * (longest - 1));
        int framing = plan.framing() == Framing.CHUNKS ? 2 : 0;
        run.disturbed("body of " + plan.framing() + " without its last bytes, then an answer of another status"
                + (plan.secondHasId() ? "" : " without id"));
        record(run.requestId(), name + " sends another answer in place of the last " + lacking + " bytes");
        write(join(List.of(Arrays.copyOf(part, part.length - framing - lacking), other)));
    }

    private void sendBehindLastSize(EngineRun run, AnswerPlan plan) throws IOException {
        boolean trailers = plan.second() == SecondAnswer.IN_TRAILERS;
        String lineEnd =
                trailers ? "\r\n" : BEHIND_LAST_SIZE.get((int) (plan.delay().toMillis() % BEHIND_LAST_SIZE.size()));
        run.disturbed((trailers
                        ? "answer of another status in the trailers"
                        : "answer of another status behind '0"
                                + printable(lineEnd.getBytes(StandardCharsets.ISO_8859_1)) + "'")
                + (plan.secondHasId() ? "" : " without id"));
        record(run.requestId(), name + " sends " + plan.second() + " of another answer");
        write(join(List.of(("0" + lineEnd).getBytes(StandardCharsets.ISO_8859_1), otherAnswer(run, plan))));
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
        boolean later = place != SecondAnswer.NONE && place != SecondAnswer.BEHIND;
        if (!later || place.endsAnswer() && place != SecondAnswer.CUT_BEFORE_NEXT) {
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
        String status = new String(answer, "HTTP/1.1 ".length(), 3, StandardCharsets.ISO_8859_1);
        boolean cut = place == SecondAnswer.CUT_BEFORE_NEXT;
        pending.add(new Pending(
                due,
                exchange + distance,
                cut ? plan.cut().firstPart(copy, plan.cutAt()) : copy,
                id,
                plan.secondHasId(),
                "copy of the " + status + " before" + (cut ? ", cut within " + plan.cut() : "")));
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
