package dev.lavenderline.core.admission;

/** An open job and the states of its items. */
final class OpenJob {
    final BatchJob job;
    final JobItems items;
    final long openedNanos;

    OpenJob(BatchJob job, JobItems items, long openedNanos) {
        this.job = job;
        this.items = items;
        this.openedNanos = openedNanos;
    }

    String id() {
        return job.id();
    }
}
