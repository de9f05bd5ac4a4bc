package dev.lavenderline.bench.history;

import com.fasterxml.jackson.databind.JsonNode;
import dev.lavenderline.bench.fleet.LocalFleet;
import dev.lavenderline.proto.log.RecordBatch;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/** Reads whole streams from the log stand-in. Stateless. */
public final class LogHistory {
    private LogHistory() {}

    /** Returns all records of a stream that the log still retains. */
    public static List<LoggedBatch> read(LocalFleet fleet, String stream) {
        List<LoggedBatch> batches = new ArrayList<>();
        long from = 1;
        while (true) {
            JsonNode page = fleet.get(
                    fleet.logUrl() + "/streams/" + stream + "/records?from=" + from + "&max_bytes=1048576&wait_ms=0");
            for (JsonNode record : page.path("records")) {
                try {
                    batches.add(new LoggedBatch(
                            record.required("offset").asLong(),
                            RecordBatch.parseFrom(record.required("data").binaryValue())));
                } catch (IOException e) {
                    throw new UncheckedIOException(
                            "record at offset " + record.path("offset") + " is not a valid RecordBatch", e);
                }
                from = record.required("offset").asLong() + 1;
            }
            if (page.path("records").isEmpty()) {
                return batches;
            }
        }
    }
}
