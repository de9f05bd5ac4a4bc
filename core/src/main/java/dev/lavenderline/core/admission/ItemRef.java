package dev.lavenderline.core.admission;

/**
 * One item of a batch job.
 *
 * @param jobId id of the job
 * @param index index of the item within the job, from 0
 */
public record ItemRef(String jobId, int index) {}
