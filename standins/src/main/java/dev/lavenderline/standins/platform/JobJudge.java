package dev.lavenderline.standins.platform;

import dev.lavenderline.standins.platform.JobRecord.Item;
import dev.lavenderline.standins.platform.JobRecord.Listing;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoublePredicate;

/**
 * Judges batch jobs by what clients read and engines ran, once all runs have ended. Stateless apart from the history
 * that it reads; thread-safe.
 */
public final class JobJudge {
    private static final int FAILURE = 500;
    private static final int IMPOSSIBLE = 422;
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    /** Time after the acknowledgement of an end from which no item may begin to run, in seconds ({@code CancelMs}). */
    private static final double CANCEL_S = 3;

    /** Multiple of the attempts of its route after which an item that fails at each run has to be given up. */
    private static final int ATTEMPTS_FACTOR = 3;

    /** The rule that a batch job breaks. */
    public enum Rule {
        LOST,
        MIXED,
        ORDER,
        TWICE,
        UNASKED,
        BUDGET,
        REFUSED
    }

    /** A broken rule. */
    public record Violation(Rule rule, String job, String item, String text) {}

    private final History history;
    private final int attempts;
    private final DoublePredicate inTouch;

    /**
     * Creates a judge.
     *
     * @param attempts attempts of the route
     * @param inTouch returns whether all nodes were in touch at a time of the history
     */
    public JobJudge(History history, int attempts, DoublePredicate inTouch) {
        this.history = history;
        this.attempts = attempts;
        this.inTouch = inTouch;
    }

    /** Returns the rules that a batch job breaks. */
    public List<Violation> judge(JobRecord job) {
        List<Violation> found = new ArrayList<>();
        job.missing().forEach(text -> found.add(new Violation(Rule.LOST, job.id(), "", text)));
        job.changedListings().forEach(text -> found.add(new Violation(Rule.TWICE, job.id(), "", text)));
        if (job.totals().stream().anyMatch(total -> total != job.items().size())) {
            found.add(new Violation(Rule.MIXED, job.id(), "", "totals " + job.totals()));
        }
        Set<String> listed = new HashSet<>();
        for (Listing listing : job.listings().values()) {
            if (!listed.add(listing.item())) {
                found.add(new Violation(Rule.TWICE, job.id(), listing.item(), "stands at two positions"));
            }
            Optional<Item> item = job.item(listing.item());
            if (item.isEmpty()) {
                found.add(new Violation(Rule.MIXED, job.id(), listing.item(), "is no item of this batch job"));
            } else {
                judgeListing(job, item.get(), listing, found);
            }
        }
        if (job.accepted().isPresent() && !job.isEndAsked()) {
            job.items().stream()
                    .filter(item -> !listed.contains(item.id()))
                    .forEach(item -> found.add(new Violation(Rule.LOST, job.id(), item.id(), "is not listed")));
        }
        job.items().forEach(item -> judgeRuns(job, item, found));
        return found;
    }

    private void judgeListing(JobRecord job, Item item, Listing listing, List<Violation> found) {
        List<EngineRun> runs = history.runsOf(item.id());
        if (!listing.state().equals("completed")) {
            boolean mayBeGivenUp = job.isEndAsked()
                    || runs.stream().anyMatch(run -> run.status() == IMPOSSIBLE)
                    || runs.stream().filter(run -> run.status() == FAILURE).count() >= attempts;
            if (!mayBeGivenUp) {
                found.add(new Violation(Rule.MIXED, job.id(), item.id(), listing.state() + " too early, runs " + runs));
            }
            return;
        }
        String[] lines = listing.output().split("\n", -1);
        EngineRun before = null;
        for (int i = 0; i < lines.length; i++) {
            int number = i + 1;
            String line = lines[i];
            Optional<EngineRun> made = runs.stream()
                    .filter(run -> line.endsWith("." + run.stamp()))
                    .findFirst();
            if (made.isEmpty() || !line.startsWith(item.id() + ".")) {
                found.add(new Violation(Rule.MIXED, job.id(), item.id(), "line " + number + " is " + line));
                return;
            }
            if (!line.equals(item.id() + "." + number + "." + made.get().stamp())) {
                found.add(new Violation(Rule.ORDER, job.id(), item.id(), "line " + number + " is " + line));
                return;
            }
            boolean joined = before != null && before != made.get();
            if (joined
                    && (made.get().firstEvent() != number
                            || !made.get().version().equals(before.version()))) {
                found.add(new Violation(
                        Rule.ORDER, job.id(), item.id(), "line " + number + " joins " + before + " and " + made.get()));
                return;
            }
            before = made.get();
        }
        if (lines.length != item.events() && !endedEarlyBehind(runs, before, lines.length)) {
            found.add(new Violation(
                    Rule.MIXED, job.id(), item.id(), lines.length + " lines, " + item.events() + " events"));
        }
    }

    /**
     * Returns whether an engine ended its answer behind an event, in order: the run that made it, or one that was asked
     * to continue and had no further event. Nothing tells such an end from that of the whole output.
     */
    private static boolean endedEarlyBehind(List<EngineRun> runs, EngineRun last, int event) {
        return runs.stream()
                .filter(run -> run == last || run.firstEvent() == event + 1)
                .anyMatch(run -> run.end() == EngineRun.End.EARLY);
    }

    private void judgeRuns(JobRecord job, Item item, List<Violation> found) {
        List<EngineRun> runs = history.runsOf(item.id());
        boolean refused = !job.submissions().isEmpty() && PROMISES.containsAll(job.submissions());
        if (refused && !runs.isEmpty()) {
            found.add(new Violation(
                    Rule.REFUSED, job.id(), item.id(), "ran after submissions were answered " + job.submissions()));
        }
        int failures = 0;
        int impossible = 0;
        for (EngineRun run : runs) {
            boolean afterEnd = job.endAcknowledged().isPresent()
                    && run.began() > job.endAcknowledged().getAsDouble() + CANCEL_S;
            if (afterEnd && inTouch.test(run.began())) {
                found.add(new Violation(
                        Rule.UNASKED,
                        job.id(),
                        item.id(),
                        "end acknowledged at " + job.endAcknowledged().getAsDouble() + ", " + run));
            }
            boolean givenUp = failures >= ATTEMPTS_FACTOR * attempts || impossible >= ATTEMPTS_FACTOR;
            if (FaultPlan.lastingFailure(item.id()) > 0 && givenUp && inTouch.test(run.began())) {
                found.add(new Violation(
                        Rule.BUDGET,
                        job.id(),
                        item.id(),
                        "runs again after " + failures + " answers of 500 and " + impossible + " of 422: " + run));
            }
            failures += run.status() == FAILURE ? 1 : 0;
            impossible += run.status() == IMPOSSIBLE ? 1 : 0;
        }
    }
}
