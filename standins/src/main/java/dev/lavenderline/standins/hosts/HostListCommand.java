package dev.lavenderline.standins.hosts;

import dev.lavenderline.standins.Arguments;
import dev.lavenderline.standins.Command;
import io.vertx.core.Vertx;
import java.time.Duration;

/**
 * Runs the host list stand-in. Options: {@code --port}, {@code --bind}, {@code --lag-ms}, {@code --hosts} (addresses of
 * live hosts at the start, separated by commas).
 */
public final class HostListCommand implements Command {
    @Override
    public void run(String[] args) {
        Arguments arguments = Arguments.parse(args, "port", "bind", "lag-ms", "hosts");
        HostListStandin.Builder builder = HostListStandin.builder(Vertx.vertx())
                .bind(arguments.text("bind", "127.0.0.1"))
                .port(arguments.integer("port", 0))
                .lag(arguments.millis("lag-ms", Duration.ofSeconds(1)));
        for (String address : arguments.text("hosts", "").split(",", -1)) {
            if (!address.isBlank()) {
                builder.host(address.strip(), "live");
            }
        }
        Arguments.announce(builder.build().start());
    }
}
