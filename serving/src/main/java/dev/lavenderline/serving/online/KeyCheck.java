package dev.lavenderline.serving.online;

import dev.lavenderline.serving.routes.Route;
import dev.lavenderline.serving.workspaces.KeyFreshness;
import java.time.Duration;
import java.util.Optional;

/**
 * Checks the key of a request before each send to an upstream. The key appears in no message.
 *
 * <p>Not thread-safe; confined to the event loop.
 */
final class KeyCheck {
    /** Retry delay while the configuration is too old; confirmations arrive about once a second. */
    static final Duration RETRY_DELAY = Duration.ofMillis(500);

    static final String OUTDATED_MESSAGE = "not run: the configuration is too old to check keys";

    private final KeyFreshness keys;
    private final Optional<String> key;

    /** Response to a request that must not be sent. */
    record Refusal(int status, String message, Duration retryAfter) {}

    /** Creates the check of a request; public routes and requests without a key have none. */
    KeyCheck(KeyFreshness keys, Route route, RequestInfo info) {
        this.keys = keys;
        this.key = route.publicAccess() ? Optional.empty() : info.apiKey();
    }

    /** Returns why the request must not be sent now; empty if it may be. */
    Optional<Refusal> refusal(boolean mayHaveRun) {
        KeyFreshness.Decision decision = key.map(keys::check).orElse(KeyFreshness.Decision.ADMITTED);
        return switch (decision) {
            case ADMITTED -> Optional.empty();
            case OUTDATED ->
                Optional.of(
                        mayHaveRun
                                ? new Refusal(
                                        502,
                                        "an upstream failed and the configuration is too old to check keys",
                                        Duration.ZERO)
                                : new Refusal(503, OUTDATED_MESSAGE, RETRY_DELAY));
            case KEY_REMOVED ->
                Optional.of(
                        mayHaveRun
                                ? new Refusal(502, "an upstream failed and the key is not valid", Duration.ZERO)
                                : new Refusal(401, "not run: the key is not valid", Duration.ZERO));
        };
    }
}
