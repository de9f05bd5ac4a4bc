package dev.lavenderline.http;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Receives the response of an engine on the event loop. Exactly one of {@code end} and {@code failed} is called, as
 * the last call, unless the exchange is closed or cancelled earlier; then no further method is called.
 */
public interface StreamListener {
    /** The engine accepted the request and started its response. */
    default void head() {}

    /** The next token arrived; indices are consecutive from the first one requested. */
    void token(Token token);

    /** The response is complete. */
    void end(End end);

    /** The exchange failed before the response was complete. */
    void failed(UpstreamFailure failure);

    /**
     * One token event.
     *
     * @param index position in the engine's stream, starting at 0
     * @param text text of the token
     * @param chunk the JSON event as the engine sent it; the receiver may modify it
     */
    record Token(int index, String text, ObjectNode chunk) {}

    /**
     * The end of a complete response.
     *
     * @param finishReason finish reason reported by the engine
     * @param promptTokens length of the prompt in tokens as reported by the engine, 0 if not reported
     */
    record End(String finishReason, int promptTokens) {}
}
