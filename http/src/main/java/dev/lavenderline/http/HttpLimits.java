package dev.lavenderline.http;

import java.time.Duration;

/**
 * Limits and timeouts of the HTTP server for callers.
 *
 * @param maxHeaderBytes largest total size of the headers of a request
 * @param maxBodyBytes largest request body other than a file upload
 * @param maxFileBytes largest uploaded file; all uploads in progress together use at most twice as much memory
 * @param firstTokenTimeout longest wait for an engine's first token before the attempt counts as silent
 * @param stallTimeout longest wait between tokens before a stream counts as silent
 * @param commentInterval interval of SSE comments while a caller waits for tokens
 * @param maxRecordedResponseBytes largest service response that is buffered, and recorded if the call has a key
 * @param defaultMaxTokens token limit of requests that set none
 */
public record HttpLimits(
        int maxHeaderBytes,
        int maxBodyBytes,
        int maxFileBytes,
        Duration firstTokenTimeout,
        Duration stallTimeout,
        Duration commentInterval,
        int maxRecordedResponseBytes,
        int defaultMaxTokens) {
    /** Returns the default limits. */
    public static HttpLimits defaults() {
        return new HttpLimits(
                16 * 1024,
                16 << 20,
                128 << 20,
                Duration.ofSeconds(10),
                Duration.ofSeconds(3),
                Duration.ofSeconds(5),
                256 * 1024,
                512);
    }

    /** Returns a copy with other timeouts for silent engines. */
    public HttpLimits withEngineTimeouts(Duration newFirstTokenTimeout, Duration newStallTimeout) {
        return new HttpLimits(
                maxHeaderBytes,
                maxBodyBytes,
                maxFileBytes,
                newFirstTokenTimeout,
                newStallTimeout,
                commentInterval,
                maxRecordedResponseBytes,
                defaultMaxTokens);
    }

    /** Returns a copy with other body sizes. */
    public HttpLimits withBodies(int newMaxBodyBytes, int newMaxFileBytes) {
        return new HttpLimits(
                maxHeaderBytes,
                newMaxBodyBytes,
                newMaxFileBytes,
                firstTokenTimeout,
                stallTimeout,
                commentInterval,
                maxRecordedResponseBytes,
                defaultMaxTokens);
    }

    /** Returns a copy with another interval of SSE comments. */
    public HttpLimits withCommentInterval(Duration newCommentInterval) {
        return new HttpLimits(
                maxHeaderBytes,
                maxBodyBytes,
                maxFileBytes,
                firstTokenTimeout,
                stallTimeout,
                newCommentInterval,
                maxRecordedResponseBytes,
                defaultMaxTokens);
    }
}
