package dev.lavenderline.http;

import java.time.Duration;

/**
 * Limits of the HTTP server for callers.
 *
 * @param maxHeaderBytes largest size of all headers together
 * @param maxBodyBytes largest body of a request other than an upload
 * @param maxFileBytes largest uploaded file; uploads in progress use at most twice as much memory
 * @param firstToken longest time until an engine's first token before the attempt counts as silent
 * @param stall longest time between tokens before a stream counts as silent
 * @param comment interval of SSE comments while a caller waits
 * @param storedAnswerBytes largest answer of a keyed call that is recorded
 * @param defaultMaxTokens tokens to generate if the caller does not say
 */
public record HttpLimits(
        int maxHeaderBytes,
        int maxBodyBytes,
        int maxFileBytes,
        Duration firstToken,
        Duration stall,
        Duration comment,
        int storedAnswerBytes,
        int defaultMaxTokens) {
    /** Returns the limits used unless configured otherwise. */
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

    /** Returns the same limits with other limits on silence. */
    public HttpLimits withSilence(Duration newFirstToken, Duration newStall) {
        return new HttpLimits(
                maxHeaderBytes,
                maxBodyBytes,
                maxFileBytes,
                newFirstToken,
                newStall,
                comment,
                storedAnswerBytes,
                defaultMaxTokens);
    }

    /** Returns the same limits with other sizes of bodies. */
    public HttpLimits withBodies(int newMaxBodyBytes, int newMaxFileBytes) {
        return new HttpLimits(
                maxHeaderBytes,
                newMaxBodyBytes,
                newMaxFileBytes,
                firstToken,
                stall,
                comment,
                storedAnswerBytes,
                defaultMaxTokens);
    }

    /** Returns the same limits with another interval of SSE comments. */
    public HttpLimits withComment(Duration newComment) {
        return new HttpLimits(
                maxHeaderBytes,
                maxBodyBytes,
                maxFileBytes,
                firstToken,
                stall,
                newComment,
                storedAnswerBytes,
                defaultMaxTokens);
    }
}
