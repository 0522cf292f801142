package io.masticfold.platform.store;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Polls a condition until it holds, with a timeout far above the expected time. */
final class Await {

    private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final long POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    private Await() {}

    static void until(BooleanSupplier condition) {
        long end = System.nanoTime() + TIMEOUT_NANOS;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                throw new IllegalStateException("condition not met within 20 s");
            }
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
    }
}
