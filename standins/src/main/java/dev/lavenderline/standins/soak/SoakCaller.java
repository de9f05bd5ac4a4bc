package dev.lavenderline.standins.soak;

import dev.lavenderline.standins.platform.CallerAnswer;
import dev.lavenderline.standins.platform.CallerConnection;
import dev.lavenderline.standins.platform.CallerRequest;
import dev.lavenderline.standins.platform.CallerRequest.Kind;
import dev.lavenderline.standins.platform.History;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A caller that sends one request after the other, on kept and on new connections, and gives up at times.
 *
 * <p>Confined to the thread that runs it.
 */
final class SoakCaller implements Runnable {
    private static final int EVENTS = 25;
    private static final int DEADLINE_MS = 4000;
    private static final int MAX_PAUSE_MS = 40;
    private static final long RECONNECT_MS = 100;
    private static final double GIVE_UP_SHARE = 0.02;
    private static final double NEW_CONNECTION_SHARE = 0.05;

    private final int number;
    private final List<SoakNode> nodes;
    private final History history;
    private final UniformRandomProvider random;
    private final BooleanSupplier running;
    private final BiConsumer<CallerRequest, CallerAnswer> results;
    private final Resumptions resumptions;
    private CallerConnection connection;
    private int connections;

    /** Takes each stream that a caller has resumed. */
    @FunctionalInterface
    interface Resumptions {
        void resumed(CallerRequest first, CallerAnswer answer, CallerRequest rest);
    }

    SoakCaller(
            int number,
            long seed,
            List<SoakNode> nodes,
            History history,
            BooleanSupplier running,
            BiConsumer<CallerRequest, CallerAnswer> results,
            Resumptions resumptions) {
        this.number = number;
        this.nodes = nodes;
        this.history = history;
        this.random = RandomSource.SPLIT_MIX_64.create(seed * 1_000_003 + number);
        this.running = running;
        this.results = results;
        this.resumptions = resumptions;
    }

    @Override
    public void run() {
        try {
            while (running.getAsBoolean()) {
                sendNext();
                TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_PAUSE_MS));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void sendNext() throws InterruptedException {
        Kind kind = kind();
        CallerRequest request = request(kind, 0, "");
        CallerAnswer answer = send(request);
        if (answer == null) {
            TimeUnit.MILLISECONDS.sleep(RECONNECT_MS);
            return;
        }
        results.accept(request, answer);
        int seen = lastEvent(answer);
        if (kind == Kind.RESUMABLE_STREAM
                && answer.success()
                && !answer.complete()
                && request.giveUpMillis() == 0
                && seen > 0
                && seen < EVENTS) {
            CallerRequest rest = request(kind, seen, request.id());
            CallerAnswer restAnswer = send(rest);
            if (restAnswer != null) {
                results.accept(rest, restAnswer);
                resumptions.resumed(request, answer, rest);
            }
        }
    }

    private Kind kind() {
        double choice = random.nextDouble();
        if (choice < 0.6) {
            return Kind.STREAM;
        }
        if (choice < 0.8) {
            return Kind.RESUMABLE_STREAM;
        }
        return choice < 0.9 ? Kind.SAFE : Kind.UNSAFE;
    }

    private CallerRequest request(Kind kind, int lastEventId, String resumes) {
        String id = String.format("%016x", random.nextLong());
        String prefix = switch (kind) {
            case STREAM -> SoakFleet.STREAM_PREFIX;
            case RESUMABLE_STREAM -> SoakFleet.RESUMABLE_PREFIX;
            case SAFE -> SoakFleet.SAFE_PREFIX;
            case UNSAFE -> SoakFleet.UNSAFE_PREFIX;
        };
        boolean stream = kind == Kind.STREAM || kind == Kind.RESUMABLE_STREAM;
        return new CallerRequest(
                id,
                kind,
                SoakFleet.HOST,
                prefix + id.substring(0, 3),
                stream ? EVENTS : 0,
                lastEventId,
                resumes,
                DEADLINE_MS,
                random.nextDouble() < GIVE_UP_SHARE ? 1 + random.nextInt(200) : 0);
    }

    /** Returns the answer, or null if no node accepts a connection. */
    private CallerAnswer send(CallerRequest request) {
        if (connection != null && connection.reusable()) {
            int unexpected = connection.unexpectedBytes();
            if (unexpected > 0) {
                history.record(List.of(request.id()), "caller " + number + " has unexpected bytes: " + unexpected);
            }
        }
        if (connection == null || !connection.reusable() || random.nextDouble() < NEW_CONNECTION_SHARE) {
            if (connection != null) {
                connection.close();
                connection = null;
            }
            SoakNode node = nodes.get(random.nextInt(nodes.size()));
            try {
                connection = new CallerConnection(
                        "caller-" + number + "-" + ++connections + "@" + node.name(), node.callersAddress(), history);
            } catch (IOException e) {
                history.record(List.of(request.id()), "no connection to " + node.name() + ": " + e.getMessage());
                return null;
            }
        }
        return connection.send(request);
    }

    private static int lastEvent(CallerAnswer answer) {
        String text = answer.text();
        int end = text.lastIndexOf("\n\n");
        int start = end < 0 ? -1 : text.lastIndexOf("id: ", end);
        int lineEnd = start < 0 ? -1 : text.indexOf('\n', start);
        try {
            return lineEnd < 0 ? 0 : Integer.parseInt(text.substring(start + 4, lineEnd));
        } catch (NumberFormatException e) {
            return 0;
        }
    }
}
