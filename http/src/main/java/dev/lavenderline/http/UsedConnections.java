package dev.lavenderline.http;

import io.vertx.core.http.HttpConnection;
import java.util.Collections;
import java.util.Set;
import java.util.WeakHashMap;

/**
 * The connections on which a request has been sent, so that a response there may answer an earlier request.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class UsedConnections {
    private final Set<HttpConnection> connections = Collections.newSetFromMap(new WeakHashMap<>());

    /** Records a request on a connection; returns whether it is the first one there. */
    boolean firstUse(HttpConnection connection) {
        return connections.add(connection);
    }
}
