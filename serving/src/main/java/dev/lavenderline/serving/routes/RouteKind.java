package dev.lavenderline.serving.routes;

/** Kind of a route's requests, which determines whether they may run more than once. */
public enum RouteKind {
    /** May run more than once. */
    SAFE,
    /** May run at most once per attempt of the caller. */
    UNSAFE,
    /** Return a stream of events; treated like {@link #UNSAFE} unless the route is resumable. */
    STREAMING,
    /** Submit batch jobs, whose items run asynchronously. */
    BATCH
}
