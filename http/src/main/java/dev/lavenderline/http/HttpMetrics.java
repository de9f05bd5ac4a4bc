package dev.lavenderline.http;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;

/** Metrics of the HTTP server for callers. */
final class HttpMetrics {
    final Meter requests;

    /** Time from the arrival of a model request to its first token. */
    final Timer firstToken;

    /** Time between consecutive tokens of a model request. */
    final Timer tokenInterval;

    /** Time from the arrival of a request until its first attempt is sent, excluding the wait for an upstream. */
    final Timer addedLatency;

    final Counter resumes;
    final Counter hedges;
    final Counter retries;
    private final MetricRegistry registry;

    HttpMetrics(MetricRegistry registry) {
        this.registry = registry;
        this.requests = registry.meter("http.requests");
        this.firstToken = registry.timer("http.first_token");
        this.tokenInterval = registry.timer("http.token_interval");
        this.addedLatency = registry.timer("http.added_latency");
        this.resumes = registry.counter("http.resumes");
        this.hedges = registry.counter("http.hedges");
        this.retries = registry.counter("http.retries");
    }

    void error(ApiError error) {
        registry.counter("http.errors." + error.code()).inc();
    }
}
