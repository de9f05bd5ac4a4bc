package dev.lavenderline.serving.online;

import io.vertx.core.buffer.Buffer;
import java.util.OptionalLong;

/**
 * A complete event of a stream. Immutable by convention.
 *
 * @param id id, if the event has one
 * @param data its data; several lines are joined by line feeds
 * @param raw its bytes, with the empty line at the end
 */
public record StreamEvent(OptionalLong id, String data, Buffer raw) {}
