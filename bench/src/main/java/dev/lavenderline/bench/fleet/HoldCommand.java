package dev.lavenderline.bench.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;

/** Runs a small local fleet for manual testing: {@code bench hold [ENGINES [NODES]]}. */
public final class HoldCommand {
    private HoldCommand() {}

    /** Runs until end of standard input; returns the exit code. */
    public static int run(List<String> args) {
        int engines = args.isEmpty() ? 4 : Integer.parseInt(args.get(0));
        int nodes = args.size() < 2 ? 3 : Integer.parseInt(args.get(1));
        DeployedFleet.Builder builder = DeployedFleet.builder(Path.of("run", "hold"))
                .engines(engines)
                .services(1)
                .regions("north-moor", "river-vale", "south-coast")
                .nodes(nodes);
        try (DeployedFleet fleet = builder.start()) {
            System.out.println("log " + fleet.localFleet().logUrl());
            fleet.upstreams().values().forEach(upstream -> System.out.println(upstream.name() + " " + upstream.url()));
            for (LocalNode node : fleet.nodes()) {
                System.out.println(
                        node.name() + " callers " + node.callersUrl() + " operators http://" + node.operatorsAddress());
            }
            System.out.println("token " + DeployedFleet.TOKEN + "; end standard input to stop");
            while (System.in.read() >= 0) {
                // Discard the input and wait for its end.
            }
            return 0;
        } catch (IOException e) {
            throw new UncheckedIOException("cannot read standard input", e);
        }
    }
}
