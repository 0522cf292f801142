package io.masticfold.platform.store;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits for a condition with a bound that is far above the expected time. */
final class Await {

    private static final long BOUND_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    private Await() {}

    static void until(BooleanSupplier condition) {
        long end = System.nanoTime() + BOUND_NANOS;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                throw new IllegalStateException("condition not met within the bound");
            }
            LockSupport.parkNanos(PAUSE_NANOS);
        }
    }
}
