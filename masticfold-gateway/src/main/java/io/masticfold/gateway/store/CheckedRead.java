package io.masticfold.gateway.store;

import io.masticfold.core.time.Cancellable;
import io.masticfold.core.time.Scheduler;
import io.masticfold.gateway.http.CallResult;
import java.time.Duration;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Makes one read of the store at a time; an answer to an earlier one is ignored. A watch that should have returned is
 * checked over another connection, since its own may be silent. Not thread-safe.
 */
final class CheckedRead {

    /** Response timeout of a watch, in addition to the time for which the store may hold it open. */
    static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(700);

    /** Time after which a watch that should have returned is checked. */
    private static final Duration CHECK_DELAY = Duration.ofMillis(100);

    private final ObjectStoreClient store;
    private final Scheduler scheduler;
    private Cancellable openCall = Cancellable.NONE;
    private Cancellable check = Cancellable.NONE;
    private int reads;
    private boolean watching;

    CheckedRead(ObjectStoreClient store, Scheduler scheduler) {
        this.store = store;
        this.scheduler = scheduler;
    }

    /** Returns the number of the latest read. */
    int number() {
        return reads;
    }

    /** Returns whether the latest read is a watch that has not returned. */
    boolean watching() {
        return watching;
    }

    /** Makes a read in place of the one in progress. */
    void read(String uri, Duration timeout, Consumer<CallResult> receiver) {
        int own = ++reads;
        watching = false;
        check.cancel();
        openCall = store.read(uri, timeout, result -> {
            if (own == reads) {
                watching = false;
                check.cancel();
                receiver.accept(result);
            }
        });
    }

    /**
     * Makes a watch in place of the read in progress.
     *
     * @param wait time for which the store may hold the watch open
     * @param checkUri returns the address of a read that tells the same at once
     * @param receiver receives the result of the watch
     * @param onSilent receives the result of the check if that returned first
     */
    void watch(
            String uri,
            Duration wait,
            Supplier<String> checkUri,
            Consumer<CallResult> receiver,
            Consumer<CallResult> onSilent) {
        read(uri, wait.plus(RESPONSE_TIMEOUT), receiver);
        watching = true;
        check = scheduler.schedule(wait.plus(CHECK_DELAY), () -> check(checkUri.get(), onSilent));
    }

    private void check(String uri, Consumer<CallResult> onSilent) {
        int own = reads;
        store.closeIdleConnections();
        check = store.read(uri, RESPONSE_TIMEOUT, result -> {
            if (own == reads && result instanceof CallResult.Answered) {
                abandon();
                onSilent.accept(result);
            }
        });
    }

    /** Closes the connection of the read in progress; its answer is ignored. */
    void abandon() {
        openCall.cancel();
        check.cancel();
        reads++;
        watching = false;
    }
}
