package dev.lavenderline.serving.online;

import io.vertx.core.buffer.Buffer;
import java.util.OptionalLong;

/**
 * A complete server-sent event. Immutable by convention.
 *
 * @param id numeric id, empty if the event has none
 * @param data data lines, joined by line feeds
 * @param controlOnly whether it has no fields but comments and the reconnection time
 * @param foreign whether it has lines that are no fields of an event, such as the head of another response
 * @param raw bytes of the event, including the empty line that ends it
 */
public record StreamEvent(OptionalLong id, String data, boolean controlOnly, boolean foreign, Buffer raw) {}
