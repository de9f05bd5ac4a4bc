package dev.lavenderline.core.config;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLParser;
import dev.lavenderline.core.config.YamlNode.Mapping;
import dev.lavenderline.core.config.YamlNode.Member;
import dev.lavenderline.core.config.YamlNode.Position;
import java.io.IOException;
import java.math.BigDecimal;
import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.CoderResult;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Reads one YAML file into nodes with positions. Not thread-safe; each instance reads one file. */
final class YamlReader {
    private static final YAMLFactory FACTORY = new YAMLFactory();

    // Deeper than any valid file; limits the recursion on malicious input.
    private static final int MAX_DEPTH = 32;

    private final String file;
    private final List<ConfigFault> faults;

    private YamlReader(String file, List<ConfigFault> faults) {
        this.file = file;
        this.faults = faults;
    }

    /** Returns the file's top-level map; adds a fault and returns empty if the file cannot be read. */
    static Optional<Mapping> read(String file, byte[] content, List<ConfigFault> faults) {
        return new YamlReader(file, faults).read(content);
    }

    private Optional<Mapping> read(byte[] content) {
        Position start = new Position(file, 1);
        ByteBuffer bytes = ByteBuffer.wrap(content);
        CharBuffer text = CharBuffer.allocate(content.length);
        CharsetDecoder decoder = StandardCharsets.UTF_8.newDecoder();
        CoderResult result = decoder.decode(bytes, text, true);
        text.flip();
        if (result.isError()) {
            int line = 1 + (int) text.chars().filter(c -> c == '\n').count();
            fault(line, "", "is not valid UTF-8");
            return Optional.empty();
        }
        try (YAMLParser parser = FACTORY.createParser(text.toString())) {
            JsonToken first = parser.nextToken();
            if (first == null) {
                return Optional.of(Mapping.empty(start));
            }
            YamlNode root = readNode(parser, start, "", 0);
            if (parser.nextToken() != null) {
                fault(line(parser), "", "has more than one YAML document");
                return Optional.empty();
            }
            if (root instanceof YamlNode.Null) {
                return Optional.of(Mapping.empty(start));
            }
            if (root instanceof Mapping mapping) {
                return Optional.of(mapping);
            }
            fault(root.position().line(), "", "must be a map, found " + root.describe());
            return Optional.empty();
        } catch (TooDeepException e) {
            fault(e.line, "", "is nested deeper than " + MAX_DEPTH + " levels");
            return Optional.empty();
        } catch (JsonProcessingException e) {
            syntaxFault(e);
            return Optional.empty();
        } catch (IOException e) {
            fault(1, "", "YAML syntax: " + e.getMessage());
            return Optional.empty();
        }
    }

    private YamlNode readNode(YAMLParser parser, Position keyPosition, String path, int depth) throws IOException {
        Position position = new Position(file, line(parser));
        if (parser.isCurrentAlias()) {
            fault(position.line(), path, "aliases are not supported, repeat the value");
            return new YamlNode.Null(position);
        }
        if (depth > MAX_DEPTH) {
            throw new TooDeepException(position.line());
        }
        return switch (parser.currentToken()) {
            case START_OBJECT -> readMapping(parser, keyPosition, path, depth);
            case START_ARRAY -> {
                List<YamlNode> items = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    Position item = new Position(file, line(parser));
                    items.add(readNode(parser, item, path + "[" + items.size() + "]", depth + 1));
                }
                yield new YamlNode.Sequence(keyPosition, items);
            }
            case VALUE_TRUE -> new YamlNode.Bool(position, true);
            case VALUE_FALSE -> new YamlNode.Bool(position, false);
            case VALUE_NULL -> new YamlNode.Null(position);
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> readNumber(parser, position);
            default -> new YamlNode.Text(position, parser.getText());
        };
    }

    private Mapping readMapping(YAMLParser parser, Position position, String path, int depth) throws IOException {
        Map<String, Member> members = new LinkedHashMap<>();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            Position keyPosition = new Position(file, line(parser));
            String name = parser.currentName();
            String memberPath = path.isEmpty() ? name : path + "." + name;
            parser.nextToken();
            Member member = new Member(keyPosition, readNode(parser, keyPosition, memberPath, depth + 1));
            Member earlier = members.putIfAbsent(name, member);
            if (earlier != null) {
                fault(
                        keyPosition.line(),
                        memberPath,
                        "is already set on line " + earlier.keyPosition().line());
            }
        }
        return new Mapping(position, members, Map.of());
    }

    private static YamlNode readNumber(YAMLParser parser, Position position) throws IOException {
        try {
            return new YamlNode.Number(
                    position, new BigDecimal(parser.getNumberValue().toString()), parser.getText());
        } catch (NumberFormatException | JsonProcessingException e) {
            return new YamlNode.Text(position, parser.getText());
        }
    }

    private static int line(YAMLParser parser) {
        return Math.max(1, parser.currentTokenLocation().getLineNr());
    }

    private void syntaxFault(JsonProcessingException e) {
        // Jackson reports the start of the enclosing construct; SnakeYAML the position of the problem.
        if (e.getCause() instanceof org.yaml.snakeyaml.error.MarkedYAMLException marked
                && marked.getProblemMark() != null) {
            fault(marked.getProblemMark().getLine() + 1, "", "YAML syntax: " + marked.getProblem());
            return;
        }
        JsonLocation location = e.getLocation();
        String reason = e.getOriginalMessage().lines().findFirst().orElse("unknown error");
        fault(location == null ? 1 : Math.max(1, location.getLineNr()), "", "YAML syntax: " + reason);
    }

    private void fault(int line, String field, String message) {
        faults.add(new ConfigFault(file, line, field, message));
    }

    @SuppressWarnings("serial")
    private static final class TooDeepException extends IOException {
        private final int line;

        private TooDeepException(int line) {
            this.line = line;
        }
    }
}
