package io.masticfold.agent;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Polls until a condition holds. The timeout is generous and expires only if the test fails. */
final class TestWaits {

    private static final Duration WAIT = Duration.ofSeconds(20);
    private static final Duration POLL = Duration.ofMillis(5);

    private TestWaits() {}

    static void await(String what, BooleanSupplier condition) {
        long end = System.nanoTime() + WAIT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                throw new AssertionError("condition not met within " + WAIT + ": " + what);
            }
            LockSupport.parkNanos(POLL.toNanos());
        }
    }
}
