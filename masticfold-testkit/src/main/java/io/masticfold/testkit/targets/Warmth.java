package io.masticfold.testkit.targets;

import io.masticfold.core.attempt.Temperature;
import java.util.UUID;
import java.util.function.LongSupplier;

/** Tracks whether a target is cold, warming or warm, and its boot id. Not safe for several threads. */
final class Warmth {

    private static final long NOT_RUN = -1;

    private final LongSupplier nowMillis;
    private long coldMillis;
    private long firstRunMillis = NOT_RUN;
    private String bootId = newBootId();

    Warmth(LongSupplier nowMillis, long coldMillis) {
        this.nowMillis = nowMillis;
        this.coldMillis = coldMillis;
    }

    Temperature temperature() {
        if (coldMillis == 0) {
            return Temperature.WARM;
        }
        if (firstRunMillis == NOT_RUN) {
            return Temperature.COLD;
        }
        return nowMillis.getAsLong() - firstRunMillis < coldMillis ? Temperature.WARMING : Temperature.WARM;
    }

    String bootId() {
        return bootId;
    }

    /** Notes a run; the first one starts the warm-up. */
    void run() {
        if (firstRunMillis == NOT_RUN) {
            firstRunMillis = nowMillis.getAsLong();
        }
    }

    /** Starts over cold under a new boot id, with the same warm-up time. */
    void turnCold() {
        turnCold(coldMillis);
    }

    void turnCold(long warmUpMillis) {
        coldMillis = warmUpMillis;
        firstRunMillis = NOT_RUN;
        bootId = newBootId();
    }

    private static String newBootId() {
        return UUID.randomUUID().toString();
    }
}
