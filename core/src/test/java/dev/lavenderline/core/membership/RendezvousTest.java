package dev.lavenderline.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;

class RendezvousTest {
    /** Guards against jobs and controllers that move to another node although theirs has not left. */
    @Property(seed = "20261203", tries = 300)
    void orderOfOthersIsUnchangedWhenOneLeaves(
            @ForAll @AlphaChars String key,
            @ForAll @Size(min = 1, max = 20) Set<@AlphaChars @StringLength(min = 1, max = 6) String> candidates,
            @ForAll Random random) {
        List<String> before = Rendezvous.order(key, candidates);
        List<String> shuffled = new ArrayList<>(candidates);
        Collections.shuffle(shuffled, random);
        String leaver = shuffled.remove(0);
        List<String> expected = new ArrayList<>(before);
        expected.remove(leaver);
        assertEquals(expected, Rendezvous.order(key, shuffled));
    }

    /** Guards against an uneven distribution of keys over the nodes. */
    @Test
    void keysAreSpreadEvenly() {
        Map<String, Integer> keysPerNode = new HashMap<>();
        List<String> nodes = List.of("a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k");
        for (int i = 0; i < 11_000; i++) {
            keysPerNode.merge(Rendezvous.order("job-" + i, nodes).get(0), 1, Integer::sum);
        }
        // The mean is 1,000 per node; the standard deviation of a uniform choice is 30.
        keysPerNode.forEach((node, count) -> assertTrue(count > 850 && count < 1_150, node + " " + count));
        assertEquals(11, keysPerNode.size());
    }
}
