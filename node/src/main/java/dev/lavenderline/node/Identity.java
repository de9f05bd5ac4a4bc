package dev.lavenderline.node;

import java.security.SecureRandom;
import java.util.HexFormat;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * The identity of one run of a node.
 *
 * @param node name of the node
 * @param incarnation id of this run; never reused
 * @param random random generator for jitter and random choices; not thread-safe
 */
public record Identity(String node, String incarnation, UniformRandomProvider random) {
    private static final int ID_BYTES = 6;

    /** Creates the identity of a new run; its id is unpredictable even if the settings fix the seed. */
    static Identity create(Settings settings) {
        byte[] id = new byte[ID_BYTES];
        SecureRandom secure = new SecureRandom();
        secure.nextBytes(id);
        long seed = settings.seed().orElseGet(secure::nextLong);
        String node = settings.identity().node();
        return new Identity(
                node, node + "-" + HexFormat.of().formatHex(id), RandomSource.XO_RO_SHI_RO_128_PP.create(seed));
    }
}
