package dev.lavenderline.core.admission;

import java.util.Arrays;
import java.util.BitSet;
import java.util.PriorityQueue;

/**
 * States and attempt counts of the items of one job: two bytes per item, and an entry per requeued or backing-off item.
 *
 * <p>Invariant: each item is in exactly one state and leaves {@code RUNNING} only through {@link #requeue},
 * {@link #backOff} or {@link #markDone}.
 */
final class JobItems {
    private static final byte UNSTARTED = 0;
    private static final byte REQUEUED = 1;
    private static final byte BACKING_OFF = 2;
    private static final byte RUNNING = 3;
    private static final byte DONE = 4;
    private static final int[] NONE = {};

    private final byte[] states;
    private final byte[] failedAttempts;
    private final PriorityQueue<Retry> retries = new PriorityQueue<>();
    private int[] requeued = NONE;
    private int requeuedSize;
    private int nextUnstarted;
    private int unstarted;
    private int running;
    private int done;

    JobItems(int items, BitSet doneItems) {
        states = new byte[items];
        failedAttempts = new byte[items];
        for (int i = doneItems.nextSetBit(0); i >= 0 && i < items; i = doneItems.nextSetBit(i + 1)) {
            states[i] = DONE;
            done++;
        }
        unstarted = items - done;
    }

    /** Returns whether an item can start; items that back off count only if retries are allowed. */
    boolean hasReady(boolean allowRetry, long nowNanos) {
        return requeuedSize > 0 || unstarted > 0 || (allowRetry && retryReady(nowNanos));
    }

    private boolean retryReady(long nowNanos) {
        dropStaleRetries();
        return !retries.isEmpty() && nowNanos - retries.peek().dueNanos >= 0;
    }

    /** Takes the next item: first requeued ones, then retries after their backoff, then unstarted ones; -1 if none. */
    int take(boolean allowRetry, long nowNanos) {
        int index = -1;
        while (index < 0 && requeuedSize > 0) {
            int candidate = requeued[--requeuedSize];
            index = states[candidate] == REQUEUED ? candidate : -1;
        }
        if (index < 0 && allowRetry && retryReady(nowNanos)) {
            index = retries.poll().index;
        }
        if (index < 0 && unstarted > 0) {
            while (states[nextUnstarted] != UNSTARTED) {
                nextUnstarted++;
            }
            index = nextUnstarted++;
            unstarted--;
        }
        if (index >= 0) {
            states[index] = RUNNING;
            running++;
        }
        return index;
    }

    /** Puts a running item back at the front of the queue without counting an attempt. */
    void requeue(int index) {
        leaveRunning(index, REQUEUED);
        if (requeuedSize == requeued.length) {
            requeued = Arrays.copyOf(requeued, Math.max(16, 2 * requeuedSize));
        }
        requeued[requeuedSize++] = index;
    }

    /** Delays the next attempt of a running item. */
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

    /** Marks an item as done, whatever its state; returns false if it was done already. */
    boolean markDone(int index) {
        byte before = states[index];
        if (before == DONE) {
            return false;
        }
        if (before == RUNNING) {
            running--;
        } else if (before == UNSTARTED) {
            unstarted--;
        } else if (before == REQUEUED) {
            dropRequeued(index);
        }
        states[index] = DONE;
        done++;
        return true;
    }

    /** Marks an item as running that was started before this job was opened; returns false if it is not unstarted. */
    boolean adopt(int index) {
        if (!valid(index) || states[index] != UNSTARTED) {
            return false;
        }
        states[index] = RUNNING;
        unstarted--;
        running++;
        return true;
    }

    /** Requeues a done item whose result was lost before it was recorded; returns false if it was not done. */
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

    private void dropStaleRetries() {
        while (!retries.isEmpty() && states[retries.peek().index] != BACKING_OFF) {
            retries.poll();
        }
    }

    /** Counts a failed attempt and returns the number of failed attempts so far. */
    int countFailedAttempt(int index) {
        failedAttempts[index]++;
        return failedAttempts[index];
    }

    int failedAttempts(int index) {
        return failedAttempts[index];
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
        return unstarted + requeuedSize;
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

    private record Retry(long dueNanos, int index) implements Comparable<Retry> {
        @Override
        public int compareTo(Retry other) {
            int byTime = Long.compare(dueNanos - other.dueNanos, 0);
            return byTime != 0 ? byTime : Integer.compare(index, other.index);
        }
    }
}
