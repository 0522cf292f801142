package io.masticfold.agent;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Polls until a condition holds. The timeout is generous and expires only if the test fails. */
final class TestWaits {

    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(5);

    private TestWaits() {}

    static void await(String description, BooleanSupplier condition) {
        long end = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                throw new AssertionError("condition not met within " + TIMEOUT + ": " + description);
            }
            LockSupport.parkNanos(POLL_INTERVAL.toNanos());
        }
    }
}
