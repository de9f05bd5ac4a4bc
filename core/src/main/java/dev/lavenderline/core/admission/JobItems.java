package dev.lavenderline.core.admission;

import java.util.Arrays;
import java.util.BitSet;
import java.util.PriorityQueue;

/**
 * Items of one job in primitive structures: two bytes and one bit for each item, and an entry for each item that was
 * requeued.
 *
 * <p>Invariant: each item is in exactly one of the states; an item leaves {@code RUNNING} only by {@link #requeue},
 * {@link #backOff} or {@link #done}.
 */
final class JobItems {
    private static final byte FRESH = 0;
    private static final byte REQUEUED = 1;
    private static final byte BACKING_OFF = 2;
    private static final byte RUNNING = 3;
    private static final byte DONE = 4;
    private static final int[] NONE = {};

    private final byte[] states;
    private final byte[] attempts;
    private final PriorityQueue<Retry> retries = new PriorityQueue<>();
    private int[] requeued = NONE;
    private int requeuedSize;
    private int nextFresh;
    private int fresh;
    private int running;
    private int done;

    JobItems(int items, BitSet doneItems) {
        states = new byte[items];
        attempts = new byte[items];
        for (int i = doneItems.nextSetBit(0); i >= 0 && i < items; i = doneItems.nextSetBit(i + 1)) {
            states[i] = DONE;
            done++;
        }
        fresh = items - done;
    }

    /** Returns whether an item can start; an item that failed before only if a suspect is allowed. */
    boolean ready(boolean allowSuspect, long nowNanos) {
        return requeuedSize > 0 || fresh > 0 || (allowSuspect && retryReady(nowNanos));
    }

    private boolean retryReady(long nowNanos) {
        dropStale();
        return !retries.isEmpty() && nowNanos - retries.peek().atNanos >= 0;
    }

    /** Takes the next item: preempted ones first, then retries whose wait is over, then items in order; -1 if none. */
    int take(boolean allowSuspect, long nowNanos) {
        int index = -1;
        while (index < 0 && requeuedSize > 0) {
            int candidate = requeued[--requeuedSize];
            index = states[candidate] == REQUEUED ? candidate : -1;
        }
        if (index < 0 && allowSuspect && retryReady(nowNanos)) {
            index = retries.poll().index;
        }
        if (index < 0 && fresh > 0) {
            while (states[nextFresh] != FRESH) {
                nextFresh++;
            }
            index = nextFresh++;
            fresh--;
        }
        if (index >= 0) {
            states[index] = RUNNING;
            running++;
        }
        return index;
    }

    /** Puts a running item in front of the others, without counting an attempt. */
    void requeue(int index) {
        leaveRunning(index, REQUEUED);
        if (requeuedSize == requeued.length) {
            requeued = Arrays.copyOf(requeued, Math.max(16, 2 * requeuedSize));
        }
        requeued[requeuedSize++] = index;
    }

    /** Lets a running item wait before another attempt. */
    void backOff(int index, long untilNanos) {
        leaveRunning(index, BACKING_OFF);
        retries.add(new Retry(untilNanos, index));
    }

    private void leaveRunning(int index, byte state) {
        if (states[index] != RUNNING) {
            throw new IllegalStateException("item " + index + " is not running");
        }
        states[index] = state;
        running--;
    }

    /** Marks an item as done in any state; returns false if it was done before. */
    boolean done(int index) {
        byte before = states[index];
        if (before == DONE) {
            return false;
        }
        if (before == RUNNING) {
            running--;
        } else if (before == FRESH) {
            fresh--;
        } else if (before == REQUEUED) {
            dropRequeued(index);
        }
        states[index] = DONE;
        done++;
        return true;
    }

    /** Marks a fresh item as running that was started before this job was opened; returns false if it is done. */
    boolean adopt(int index) {
        if (!valid(index) || states[index] != FRESH) {
            return false;
        }
        states[index] = RUNNING;
        fresh--;
        running++;
        return true;
    }

    /** Makes a done item pending again, because its result was lost before it was recorded. */
    boolean reopen(int index) {
        if (states[index] != DONE) {
            return false;
        }
        done--;
        running++;
        states[index] = RUNNING;
        requeue(index);
        return true;
    }

    private void dropRequeued(int index) {
        int kept = 0;
        for (int i = 0; i < requeuedSize; i++) {
            if (requeued[i] != index) {
                requeued[kept++] = requeued[i];
            }
        }
        requeuedSize = kept;
    }

    private void dropStale() {
        while (!retries.isEmpty() && states[retries.peek().index] != BACKING_OFF) {
            retries.poll();
        }
    }

    /** Counts a failed attempt and returns the number of failed attempts. */
    int countAttempt(int index) {
        attempts[index]++;
        return attempts[index];
    }

    int attempts(int index) {
        return attempts[index];
    }

    boolean isRunning(int index) {
        return index >= 0 && index < states.length && states[index] == RUNNING;
    }

    boolean valid(int index) {
        return index >= 0 && index < states.length;
    }

    int size() {
        return states.length;
    }

    int queued() {
        return fresh + requeuedSize;
    }

    int running() {
        return running;
    }

    int done() {
        return done;
    }

    int backingOff() {
        return size() - done - running - queued();
    }

    /** Returns the items without a result. */
    int remaining() {
        return size() - done;
    }

    private record Retry(long atNanos, int index) implements Comparable<Retry> {
        @Override
        public int compareTo(Retry other) {
            int byTime = Long.compare(atNanos - other.atNanos, 0);
            return byTime != 0 ? byTime : Integer.compare(index, other.index);
        }
    }
}
