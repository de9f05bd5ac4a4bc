package dev.lavenderline.standins.log;

import dev.lavenderline.standins.Arguments;
import dev.lavenderline.standins.Command;
import io.vertx.core.Vertx;
import java.time.Duration;

/**
 * Runs the log stand-in. Options: {@code --port}, {@code --bind}, {@code --retention-ms}, {@code --retained-records},
 * {@code --append-rate} (per second), {@code --append-latency-ms}, {@code --read-latency-ms}.
 */
public final class LogCommand implements Command {
    @Override
    public void run(String[] args) {
        Arguments arguments = Arguments.parse(
                args,
                "port",
                "bind",
                "retention-ms",
                "retained-records",
                "append-rate",
                "append-latency-ms",
                "read-latency-ms");
        LogStandin log = LogStandin.builder(Vertx.vertx())
                .bind(arguments.stringValue("bind", "127.0.0.1"))
                .port(arguments.intValue("port", 0))
                .retention(arguments.millisValue("retention-ms", Duration.ofHours(24)))
                .retainedRecords(arguments.intValue("retained-records", Integer.MAX_VALUE))
                .appendRate(arguments.doubleValue("append-rate", 400))
                .appendLatency(arguments.millisValue("append-latency-ms", Duration.ofMillis(3)))
                .readLatency(arguments.millisValue("read-latency-ms", Duration.ofMillis(3)))
                .build();
        Arguments.printReady(log.start());
    }
}
