package dev.lavenderline.serving.workspaces;

import dev.lavenderline.core.Ticker;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Which version of the configuration this node holds, and as of when it is known to be the newest one.
 *
 * <p>Invariants: the version never decreases; at the time {@code asked}, there was no version newer than the one held.
 * The time at which a question was sent counts, not that of its response: a poll that the store held for a second
 * proves only what was true when it was sent. Not thread-safe; confined to the event loop.
 */
public final class ConfigAge {
    /** Age of a configuration that nothing has confirmed. */
    private static final Duration UNCONFIRMED = Duration.ofDays(1);

    private final Ticker ticker;
    private long version;
    private Optional<ClockReading> asked = Optional.empty();
    private long announcedVersion;
    private Optional<ClockReading> announcedAsked = Optional.empty();

    public ConfigAge(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Returns the version held, 0 before the first one. */
    public long version() {
        return version;
    }

    /** Records the version that this node holds from now on; older ones are ignored. */
    public void hold(long newVersion) {
        if (newVersion <= version) {
            return;
        }
        version = newVersion;
        // What was the newest version then is not newer than the one held now.
        if (announcedVersion > 0 && announcedVersion <= version) {
            announcedAsked.ifPresent(this::confirm);
            announcedVersion = 0;
            announcedAsked = Optional.empty();
        }
    }

    /**
     * Records a response that named a version as the newest one. Confirmations of an older version than the one held
     * count for nothing, and so do those of the version held while a newer one is known.
     *
     * @param askedAt when the question was sent
     */
    public void confirmed(long confirmedVersion, ClockReading askedAt) {
        if (confirmedVersion > version) {
            announce(confirmedVersion, askedAt);
        } else if (confirmedVersion == version && version > 0 && announcedVersion == 0) {
            confirm(askedAt);
        }
    }

    private void announce(long newer, ClockReading askedAt) {
        if (newer > announcedVersion) {
            announcedVersion = newer;
            announcedAsked = Optional.of(askedAt);
        } else if (newer == announcedVersion) {
            announcedAsked = announcedAsked.map(known -> askedAt.younger(known, ticker));
        }
    }

    private void confirm(ClockReading askedAt) {
        asked = Optional.of(asked.map(known -> askedAt.younger(known, ticker)).orElse(askedAt));
    }

    /** Returns a version that another node holds and this one does not, if there is one. */
    public OptionalLong newerVersion() {
        return announcedVersion == 0 ? OptionalLong.empty() : OptionalLong.of(announcedVersion);
    }

    /** Returns the time since the last question whose answer confirmed the version held; a day if there is none. */
    public Duration age() {
        return asked.map(reading -> reading.age(ticker)).orElse(UNCONFIRMED);
    }
}
