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
 * Maps bearer tokens to workspaces. Only hashes of tokens are kept, and the time of a lookup does not depend on which
 * workspace matches. Confined to the event loop.
 */
final class BearerTokens {
    private static final String SCHEME = "Bearer ";

    private final Supplier<FleetConfig> config;
    private FleetConfig indexedConfig;
    private List<TokenHash> tokenHashes = List.of();

    @SuppressWarnings("ArrayRecordComponent")
    private record TokenHash(byte[] sha256, String workspace) {}

    BearerTokens(Supplier<FleetConfig> config) {
        this.config = config;
    }

    Optional<String> workspace(String authorization) {
        if (authorization == null || !authorization.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            return Optional.empty();
        }
        indexTokens();
        String token = authorization.substring(SCHEME.length()).trim();
        byte[] hash = Hashing.sha256().hashString(token, StandardCharsets.UTF_8).asBytes();
        String found = null;
        for (TokenHash candidate : tokenHashes) {
            if (MessageDigest.isEqual(candidate.sha256(), hash)) {
                found = candidate.workspace();
            }
        }
        return Optional.ofNullable(found);
    }

    private void indexTokens() {
        FleetConfig current = config.get();
        if (current == indexedConfig) {
            return;
        }
        List<TokenHash> hashes = new ArrayList<>();
        for (Workspace workspace : current.workspaces().values()) {
            for (String hash : workspace.tokenSha256()) {
                hashes.add(new TokenHash(HexFormat.of().parseHex(hash), workspace.name()));
            }
        }
        tokenHashes = hashes;
        indexedConfig = current;
    }
}
