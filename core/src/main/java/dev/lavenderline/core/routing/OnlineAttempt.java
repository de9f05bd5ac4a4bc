package dev.lavenderline.core.routing;

import static com.google.common.base.Preconditions.checkArgument;

/** One attempt of a request at one upstream. */
final class OnlineAttempt implements Dispatcher.Attempt {
    private final QueueingDispatcher dispatcher;
    private final OnlineRequest request;
    private final UpstreamState upstream;
    private final boolean isProbe;
    private final long sentNanos;
    private final double pendingAhead;
    private boolean isLong;
    private long lastTokenNanos;
    private int tokens;
    private boolean hasToken;
    private boolean ended;

    OnlineAttempt(
            QueueingDispatcher dispatcher, OnlineRequest request, UpstreamState upstream, boolean isProbe, long now) {
        this.dispatcher = dispatcher;
        this.request = request;
        this.upstream = upstream;
        this.isProbe = isProbe;
        this.sentNanos = now;
        this.pendingAhead = upstream.pending(request.group().typicalFirstToken(), now);
        this.isLong = request.isLong();
    }

    @Override
    public String upstream() {
        return upstream.name();
    }

    @Override
    public void firstToken() {
        if (ended || hasToken) {
            return;
        }
        hasToken = true;
        long now = dispatcher.nanos();
        lastTokenNanos = now;
        upstream.firstToken(this, now);
        dispatcher.onFirstToken(this, now);
    }

    @Override
    public void tokens(int count) {
        checkArgument(count >= 0, "count is negative: %s", count);
        if (ended || count == 0) {
            return;
        }
        firstToken();
        long now = dispatcher.nanos();
        if (now > lastTokenNanos) {
            upstream.statistics.recordInterval((now - lastTokenNanos) / count, now);
            lastTokenNanos = now;
        }
        int before = outstandingTokens();
        tokens += count;
        upstream.tokens(before - outstandingTokens(), now);
        if (!isLong && request.group().lengths.longOutput(tokens)) {
            isLong = true;
            upstream.becameLong();
        }
    }

    @Override
    public void finished() {
        if (end()) {
            dispatcher.onFinished(this);
        }
    }

    @Override
    public void failed(Dispatcher.Failure failure) {
        if (end()) {
            dispatcher.onFailed(this, failure);
        }
    }

    @Override
    public void cancelled() {
        if (end()) {
            dispatcher.onCancelled(this);
        }
    }

    private boolean end() {
        if (ended) {
            return false;
        }
        ended = true;
        upstream.ended(this);
        request.ended(this);
        return true;
    }

    OnlineRequest request() {
        return request;
    }

    UpstreamState state() {
        return upstream;
    }

    boolean isProbe() {
        return isProbe;
    }

    boolean isLong() {
        return isLong;
    }

    boolean hasLongPrompt() {
        return request.hasLongPrompt();
    }

    boolean hasToken() {
        return hasToken;
    }

    double pendingAhead() {
        return pendingAhead;
    }

    long sentNanos() {
        return sentNanos;
    }

    int generatedTokens() {
        return tokens;
    }

    /** Returns the tokens that this attempt may still generate. */
    int outstandingTokens() {
        return Math.max(0, request.profile().maxTokens() - tokens);
    }
}
