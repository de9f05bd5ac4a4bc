package dev.lavenderline.serving.online;

import dev.lavenderline.serving.online.HostileUpstream.Extra;
import dev.lavenderline.serving.online.HostileUpstream.Fault;
import dev.lavenderline.serving.online.HostileUpstream.Framing;
import dev.lavenderline.serving.online.HostileUpstream.Kind;
import dev.lavenderline.serving.online.HostileUpstream.Owner;
import dev.lavenderline.serving.online.HostileUpstream.Plan;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.lifecycle.AfterContainer;

/** Guards against mixed and truncated responses by drawn plans of an upstream that breaks the protocol. */
class HostileUpstreamPropertyTest {
    private static final HostileExchange EXCHANGE = new HostileExchange();

    @AfterContainer
    static void close() {
        EXCHANGE.close();
    }

    private static Arbitrary<Extra> extras() {
        return Combinators.combine(
                        Arbitraries.of(Kind.values()), Arbitraries.of(Owner.values()), Arbitraries.of(true, false))
                .as(Extra::new);
    }

    @Provide
    static Arbitrary<Plan> plans() {
        Arbitrary<Fault> faults =
                Arbitraries.of(Fault.values()).filter(fault -> !fault.name().startsWith("ENDLESS"));
        return Combinators.combine(
                        Arbitraries.of(Framing.values()),
                        faults,
                        Arbitraries.integers().between(0, 3000),
                        Arbitraries.integers().between(0, 99),
                        Arbitraries.integers().between(1, 40),
                        extras())
                .as(Plan::new);
    }

    @Property(tries = 10_000, seed = "20261204")
    void responseIsWholeAndOwnOrFails(@ForAll("plans") Plan plan) throws Exception {
        EXCHANGE.send(plan);
    }
}
