package dev.lavenderline.standins.platform;

import java.time.Duration;

/**
 * What an engine is and how fast it works.
 *
 * @param id id under which it registers
 * @param service name of its service
 * @param version version of its software
 * @param announcedSlots requests that it says it runs at once; more than it does if it is busy with other work
 * @param slots requests that it runs at once
 * @param queue requests that wait for a slot; any further ones are refused
 * @param connections connections that it accepts
 * @param firstEvent time from a slot to the first event of a stream, or to the answer to a request without events
 * @param eventInterval time from one event to the next
 * @param keepAlive time after which it closes an idle connection, in whole seconds
 */
public record EngineSpec(
        String id,
        String service,
        String version,
        int announcedSlots,
        int slots,
        int queue,
        int connections,
        Duration firstEvent,
        Duration eventInterval,
        Duration keepAlive) {}
