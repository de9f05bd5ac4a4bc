package dev.lavenderline.standins.hosts;

import dev.lavenderline.standins.Arguments;
import dev.lavenderline.standins.Command;
import io.vertx.core.Vertx;
import java.time.Duration;

/**
 * Runs the host list stand-in. Options: {@code --port}, {@code --bind}, {@code --lag-ms}, {@code --hosts}
 * (comma-separated addresses of the hosts that are live at startup).
 */
public final class HostListCommand implements Command {
    @Override
    public void run(String[] args) {
        Arguments arguments = Arguments.parse(args, "port", "bind", "lag-ms", "hosts");
        HostListStandin.Builder builder = HostListStandin.builder(Vertx.vertx())
                .bind(arguments.stringValue("bind", "127.0.0.1"))
                .port(arguments.intValue("port", 0))
                .lag(arguments.millisValue("lag-ms", Duration.ofSeconds(1)));
        for (String address : arguments.stringValue("hosts", "").split(",", -1)) {
            if (!address.isBlank()) {
                builder.host(address.strip(), "live");
            }
        }
        Arguments.printReady(builder.build().start());
    }
}
