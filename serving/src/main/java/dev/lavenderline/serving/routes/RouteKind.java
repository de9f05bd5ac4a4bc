package dev.lavenderline.serving.routes;

/** What a route's requests are and whether they may be repeated. */
public enum RouteKind {
    /** May run more than once. */
    SAFE,
    /** May run at most once for each attempt of a caller. */
    UNSAFE,
    /** Answered by a stream of events; like {@link #UNSAFE} unless the route is resumable. */
    STREAMING,
    /** Batch jobs, whose items run later. */
    BATCH
}
