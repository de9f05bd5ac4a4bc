package dev.lavenderline.http;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Receives the answer of an engine on the event loop. Exactly one of {@code end} and {@code failed} is called, as the
 * last call, unless the exchange is closed or cancelled before; then nothing more is called.
 */
public interface StreamListener {
    /** The engine accepted the request and began its answer. */
    default void head() {}

    /** The next token; indices are consecutive from the first one asked for. */
    void token(Token token);

    /** The answer is complete. */
    void end(End end);

    /** The answer is not complete. */
    void failed(UpstreamFailure failure);

    /**
     * One token event.
     *
     * @param index position in the engine's stream, from 0
     * @param text text of the token
     * @param chunk the event as the engine sent it; may be modified by the receiver
     */
    record Token(int index, String text, ObjectNode chunk) {}

    /**
     * The end of a complete answer.
     *
     * @param finishReason reason given by the engine
     * @param promptTokens length of the prompt as the engine counted it, 0 if it did not say
     */
    record End(String finishReason, int promptTokens) {}
}
