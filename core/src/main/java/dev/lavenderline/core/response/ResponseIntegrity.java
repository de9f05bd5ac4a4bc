package dev.lavenderline.core.response;

import io.vertx.core.MultiMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Decides whether the head and the trailers of an HTTP/1.1 response hold parts of another response. If a peer stops
 * within a head and writes another response on the same connection, HTTP parsers take the rest of both for one head:
 * the status of the first with the fields of the second.
 *
 * <p>Invariants: nothing in a response with a {@link Defect} proves anything about a request. A head is never rejected
 * for naming a protocol version, as {@code Via} does, without a status code behind it. Immutable and thread-safe.
 */
public final class ResponseIntegrity {
    /** A status line up to its code (RFC 9112, section 4), also as lenient senders write it. */
    private static final Pattern STATUS_LINE =
            Pattern.compile("HTTP/\\d(?:\\.\\d)?\\s+\\d{3}(?:\\s|$)", Pattern.CASE_INSENSITIVE);

    /** Fields that describe the message or its framing, which a response has at most once and never as trailers. */
    private static final List<String> STANDARD_FIELDS =
            List.of("Content-Length", "Transfer-Encoding", "Content-Type", "Date");

    private final Set<String> singleFields;

    /** What shows that bytes of two responses were taken for one. */
    public enum Kind {
        STATUS_LINE,
        INVALID_NAME,
        REPEATED_FIELD,
        FIELD_IN_TRAILERS,
        HEAD_IN_BODY
    }

    /**
     * A part of another response.
     *
     * @param field name of the field that holds it, empty for the reason phrase and the body
     */
    public record Defect(Kind kind, String field) {
        @Override
        public String toString() {
            return "part of another response: " + kind + (field.isEmpty() ? "" : " in " + field);
        }
    }

    /**
     * Creates a check.
     *
     * @param protocolFields fields of the caller's protocol that a response has at most once and never as trailers
     */
    public ResponseIntegrity(List<String> protocolFields) {
        Set<String> fields = new LinkedHashSet<>(STANDARD_FIELDS);
        fields.addAll(protocolFields);
        singleFields = Set.copyOf(fields);
    }

    /** Returns why a head is not that of one response; empty if it is. */
    public Optional<Defect> headDefect(String reasonPhrase, MultiMap headers) {
        if (reasonPhrase != null && containsStatusLine(reasonPhrase)) {
            return Optional.of(new Defect(Kind.STATUS_LINE, ""));
        }
        Optional<Defect> defect = fieldDefect(headers);
        if (defect.isPresent()) {
            return defect;
        }
        for (String name : singleFields) {
            if (headers.contains(name) && headers.getAll(name).size() > 1) {
                return Optional.of(new Defect(Kind.REPEATED_FIELD, name));
            }
        }
        return Optional.empty();
    }

    /** Returns why the trailers of a response hold a part of the head of another one; empty if they don't. */
    public Optional<Defect> trailerDefect(MultiMap trailers) {
        if (trailers.isEmpty()) {
            return Optional.empty();
        }
        for (String name : singleFields) {
            if (trailers.contains(name)) {
                return Optional.of(new Defect(Kind.FIELD_IN_TRAILERS, name));
            }
        }
        return fieldDefect(trailers);
    }

    private static Optional<Defect> fieldDefect(MultiMap fields) {
        for (Map.Entry<String, String> field : fields) {
            if (!FieldNames.isToken(field.getKey())) {
                return Optional.of(new Defect(Kind.INVALID_NAME, field.getKey()));
            }
            if (containsStatusLine(field.getValue())) {
                return Optional.of(new Defect(Kind.STATUS_LINE, field.getKey()));
            }
        }
        return Optional.empty();
    }

    /** Returns whether a text contains a version and a status code. */
    static boolean containsStatusLine(String text) {
        return STATUS_LINE.matcher(text).find();
    }
}
