package io.masticfold.cli.process;

import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;

/** Waits for conditions with a bound. */
final class Await {

    /** Longest wait for one condition; generous, because the machine may be busy. */
    static final Duration BOUND = Duration.ofSeconds(30);

    private static final Duration PAUSE = Duration.ofMillis(20);

    private Await() {}

    /**
     * Waits until a condition holds.
     *
     * @throws AssertionError naming the condition and the state at the end, if the bound passes first
     */
    static void until(String condition, Callable<Boolean> check, Supplier<String> state) throws Exception {
        long end = System.nanoTime() + BOUND.toNanos();
        while (!check.call()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("not within " + BOUND + ": " + condition + "; " + state.get());
            }
            LockSupport.parkNanos(PAUSE.toNanos());
        }
    }
}
