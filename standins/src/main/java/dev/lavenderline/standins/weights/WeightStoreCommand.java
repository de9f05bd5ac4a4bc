package dev.lavenderline.standins.weights;

import dev.lavenderline.standins.Arguments;
import dev.lavenderline.standins.Command;
import io.vertx.core.Vertx;

/**
 * Runs the weight store stand-in. Options: {@code --port}, {@code --bind}, {@code --bytes-per-second},
 * {@code --burst-bytes}.
 */
public final class WeightStoreCommand implements Command {
    @Override
    public void run(String[] args) {
        Arguments arguments = Arguments.parse(args, "port", "bind", "bytes-per-second", "burst-bytes");
        WeightStoreStandin store = WeightStoreStandin.builder(Vertx.vertx())
                .bind(arguments.stringValue("bind", "127.0.0.1"))
                .port(arguments.intValue("port", 0))
                .bytesPerSecond(arguments.doubleValue("bytes-per-second", 1e9))
                .burstBytes(arguments.longValue("burst-bytes", 1_000_000_000))
                .build();
        Arguments.printReady(store.start());
    }
}
