/** Judges recorded runs: what the log, the upstreams and the callers saw. */
package dev.lavenderline.bench.history;
