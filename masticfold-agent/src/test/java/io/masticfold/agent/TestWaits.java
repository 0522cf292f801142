package io.masticfold.agent;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits for conditions; the bound only ends a test that has failed. */
final class TestWaits {

    private static final Duration WAIT = Duration.ofSeconds(20);
    private static final Duration POLL = Duration.ofMillis(5);

    private TestWaits() {}

    static void await(String what, BooleanSupplier condition) {
        long end = System.nanoTime() + WAIT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                throw new AssertionError("not reached within " + WAIT + ": " + what);
            }
            LockSupport.parkNanos(POLL.toNanos());
        }
    }
}
