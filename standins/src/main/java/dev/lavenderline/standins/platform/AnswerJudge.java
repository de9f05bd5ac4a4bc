package dev.lavenderline.standins.platform;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * Judges answers by what callers and engines saw on their sockets. Stateless apart from the history that it reads;
 * thread-safe.
 */
public final class AnswerJudge {
    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: ([^.\n]*)\\.(\\d+)\\.([^\n]*)\n\n");
    private static final List<Integer> PROMISES = List.of(408, 421, 429, 503);

    /** The rule that an answer breaks. */
    public enum Rule {
        /** An answer that isn't the caller's, or not whole. */
        MIXED,
        /** Events that are missing, come twice or are joined from runs that don't continue each other. */
        ORDER,
        /** A request that may run once has run again. */
        TWICE,
        /** A request was said not to have run, and it has. */
        REFUSED
    }

    /**
     * A broken rule.
     *
     * @param disturbance how the engine mixed its answer with another one; empty if the bytes of its answer were whole
     */
    public record Violation(Rule rule, String requestId, CallerRequest.Kind kind, String text, String disturbance) {}

    private final History history;

    public AnswerJudge(History history) {
        this.history = history;
    }

    /** Returns the rules that the answer to a request breaks; to be called once its runs have ended. */
    public List<Violation> judge(CallerRequest request, CallerAnswer answer) {
        List<EngineRun> runs = history.runsOf(request.id());
        List<Violation> found = new ArrayList<>();
        Optional<EngineRun> stamped = runs.stream()
                .filter(run -> run.stamp().equals(answer.header("Server-Stamp")))
                .findFirst();
        List<EngineRun> latestFirst = new ArrayList<>(runs);
        Collections.reverse(latestFirst);
        // An answer without a stamp is most likely that of the latest run.
        Stream<String> ofRuns =
                Stream.concat(stamped.stream(), latestFirst.stream()).map(EngineRun::disturbance);
        String disturbance = firstOf(Stream.concat(ofRuns, Stream.of(history.disturbedRejection(request.id()))));
        if (!request.kind().idempotent() && runs.size() > 1) {
            // The answer to an earlier run is what let the node send the request again.
            String earlier = firstOf(runs.subList(0, runs.size() - 1).stream().map(EngineRun::disturbance));
            found.add(violation(Rule.TWICE, request, runs.size() + " runs", earlier));
        }
        if (!request.kind().idempotent() && PROMISES.contains(answer.status()) && !runs.isEmpty()) {
            found.add(violation(Rule.REFUSED, request, "status " + answer.status(), disturbance));
        }
        String echoed = answer.header("Request-Id");
        if (!echoed.isEmpty() && !echoed.equals(request.id())) {
            found.add(violation(Rule.MIXED, request, "the answer names request " + echoed, disturbance));
        }
        if (!answer.header("Server-Stamp").isEmpty() && stamped.isEmpty()) {
            found.add(violation(Rule.MIXED, request, "the stamp is of no run of this request", disturbance));
        }
        if (stamped.isPresent() && answer.status() != stamped.get().status()) {
            found.add(violation(
                    Rule.MIXED,
                    request,
                    "status " + answer.status() + " where the engine answered "
                            + stamped.get().status(),
                    disturbance));
        }
        if (!answer.success()) {
            return found;
        }
        if (stamped.isEmpty()) {
            String text =
                    runs.isEmpty() ? "a success where no engine ran it" : "a success without a stamp of its engine";
            found.add(violation(Rule.MIXED, request, text, disturbance));
        } else if (request.events() > 0) {
            judgeStream(request, answer, runs, stamped.get(), disturbance, found);
        } else if (answer.complete() && !isWholeBody(answer, stamped.get())) {
            found.add(violation(Rule.MIXED, request, "the body isn't that of the engine", disturbance));
        }
        return found;
    }

    private static String firstOf(Stream<String> disturbances) {
        return disturbances.filter(text -> !text.isEmpty()).findFirst().orElse("");
    }

    /** Returns whether a stream goes on at an engine of the software version on which its events so far were made. */
    public Optional<Violation> judgeResumption(CallerRequest first, CallerAnswer answer, CallerRequest rest) {
        Optional<EngineRun> before = lastRun(first, answer);
        Optional<EngineRun> after = history.runsOf(rest.id()).stream()
                .filter(run ->
                        before.isPresent() && !run.version().equals(before.get().version()))
                .findFirst();
        return after.map(run -> violation(
                Rule.ORDER,
                rest,
                "goes on at " + run.engine() + " of version " + run.version() + " after version "
                        + before.get().version(),
                ""));
    }

    private Optional<EngineRun> lastRun(CallerRequest request, CallerAnswer answer) {
        Matcher event = EVENT.matcher(answer.text());
        String stamp = "";
        while (event.find()) {
            stamp = event.group(4);
        }
        String last = stamp;
        return history.runsOf(request.id()).stream()
                .filter(run -> run.stamp().equals(last))
                .findFirst();
    }

    private static boolean isWholeBody(CallerAnswer answer, EngineRun run) {
        return Arrays.equals(answer.body(), run.body()) || Arrays.equals(answer.body(), run.bodyAsSent());
    }

    private static void judgeStream(
            CallerRequest request,
            CallerAnswer answer,
            List<EngineRun> runs,
            EngineRun first,
            String disturbance,
            List<Violation> found) {
        String text = answer.text();
        Matcher event = EVENT.matcher(text);
        int expected = request.lastEventId() + 1;
        int position = 0;
        EngineRun run = first;
        while (event.find(position) && event.start() == position) {
            int number = Integer.parseInt(event.group(1));
            String stamp = event.group(4);
            if (!event.group(2).equals(request.id())) {
                found.add(violation(Rule.MIXED, request, "an event of request " + event.group(2), disturbance));
                return;
            }
            if (number != expected || number != Integer.parseInt(event.group(3))) {
                found.add(violation(
                        Rule.ORDER, request, "event " + number + " where " + expected + " is due", disturbance));
                found.addAll(wholeBody(request, answer, runs, disturbance));
                return;
            }
            if (!stamp.equals(run.stamp())) {
                EngineRun before = run;
                Optional<EngineRun> next =
                        runs.stream().filter(each -> each.stamp().equals(stamp)).findFirst();
                if (next.isEmpty()
                        || next.get().firstEvent() != number
                        || !request.kind().idempotent()) {
                    found.add(violation(
                            Rule.ORDER, request, "event " + number + " is of another run: " + next, disturbance));
                    return;
                }
                run = next.get();
                if (!run.version().equals(before.version())) {
                    found.add(violation(
                            Rule.ORDER,
                            request,
                            "joined from versions " + before.version() + " and " + run.version(),
                            disturbance));
                    return;
                }
            }
            expected++;
            position = event.end();
        }
        boolean endedEarly = run.end() == EngineRun.End.EARLY;
        if (position < text.length() && !(endedEarly || !answer.complete())) {
            found.add(
                    violation(Rule.MIXED, request, text.length() - position + " bytes that are no event", disturbance));
        } else if (position < text.length() && !isPartOfEvent(request, expected, runs, text.substring(position))) {
            found.add(violation(Rule.MIXED, request, "bytes that are no part of the next event", disturbance));
        }
        if (answer.complete() && expected <= first.lastEvent() && !endedEarly) {
            found.add(violation(
                    Rule.ORDER,
                    request,
                    "ends as complete before event " + expected + " of " + first.lastEvent(),
                    disturbance));
            found.add(violation(Rule.MIXED, request, "complete, but not whole", disturbance));
        }
    }

    /** A complete answer with the wrong events isn't the body of its engine either. */
    private static List<Violation> wholeBody(
            CallerRequest request, CallerAnswer answer, List<EngineRun> runs, String disturbance) {
        boolean matches =
                runs.size() != 1 || Arrays.equals(answer.body(), runs.get(0).body());
        return !answer.complete() || matches
                ? List.of()
                : List.of(violation(Rule.MIXED, request, "the body isn't that of the engine", disturbance));
    }

    private static boolean isPartOfEvent(CallerRequest request, int number, List<EngineRun> runs, String rest) {
        return runs.stream()
                .map(run -> new String(EngineRun.event(request.id(), number, run.stamp()), StandardCharsets.UTF_8))
                .anyMatch(event -> event.startsWith(rest));
    }

    private static Violation violation(Rule rule, CallerRequest request, String text, String disturbance) {
        return new Violation(rule, request.id(), request.kind(), text, disturbance);
    }
}
