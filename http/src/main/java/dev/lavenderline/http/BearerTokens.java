package dev.lavenderline.http;

import com.google.common.hash.Hashing;
import dev.lavenderline.core.config.FleetConfig;
import dev.lavenderline.core.config.Workspace;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Finds the workspace of a bearer token. Only hashes are kept and compared, in a time that does not depend on which
 * workspace matches. Confined to the event loop.
 */
final class BearerTokens {
    private static final String SCHEME = "Bearer ";

    private final Supplier<FleetConfig> config;
    private FleetConfig indexed;
    private List<Known> known = List.of();

    @SuppressWarnings("ArrayRecordComponent")
    private record Known(byte[] sha256, String workspace) {}

    BearerTokens(Supplier<FleetConfig> config) {
        this.config = config;
    }

    Optional<String> workspace(String authorization) {
        if (authorization == null || !authorization.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            return Optional.empty();
        }
        index();
        String token = authorization.substring(SCHEME.length()).trim();
        byte[] hash = Hashing.sha256().hashString(token, StandardCharsets.UTF_8).asBytes();
        String found = null;
        for (Known candidate : known) {
            if (MessageDigest.isEqual(candidate.sha256(), hash)) {
                found = candidate.workspace();
            }
        }
        return Optional.ofNullable(found);
    }

    private void index() {
        FleetConfig current = config.get();
        if (current == indexed) {
            return;
        }
        List<Known> list = new ArrayList<>();
        for (Workspace workspace : current.workspaces().values()) {
            for (String hash : workspace.tokenSha256()) {
                list.add(new Known(HexFormat.of().parseHex(hash), workspace.name()));
            }
        }
        known = list;
        indexed = current;
    }
}
