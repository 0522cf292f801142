package io.masticfold.gateway.resume;

import io.masticfold.core.time.Cancellable;
import io.masticfold.core.time.Scheduler;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Reads the records of streams again for those who must know what was recorded until they asked. One read answers all
 * that asked before it began. Not thread-safe.
 */
final class RecordConfirmation {

    /** Longest wait for the store. */
    static final Duration MAX_WAIT = Duration.ofMillis(500);

    private final Scheduler scheduler;
    private final Reader reader;
    private List<Consumer<Boolean>> waiting = new ArrayList<>();
    private boolean reading;

    /** Reads the records once. */
    interface Reader {

        /**
         * Starts a read.
         *
         * @param onComplete called after all records have been received
         * @param onFailure called instead if the store has not answered
         */
        void read(Runnable onComplete, Runnable onFailure);
    }

    RecordConfirmation(Scheduler scheduler, Reader reader) {
        this.scheduler = scheduler;
        this.reader = reader;
    }

    /**
     * Asks for a read that begins now or later.
     *
     * @param receiver receives once whether the store has answered in time
     */
    void request(Consumer<Boolean> receiver) {
        waiting.add(receiver);
        if (!reading) {
            start();
        }
    }

    private void start() {
        List<Consumer<Boolean>> receivers = waiting;
        waiting = new ArrayList<>();
        reading = true;
        Attempt attempt = new Attempt(receivers);
        attempt.timeout = scheduler.schedule(MAX_WAIT, () -> attempt.end(false));
        reader.read(() -> attempt.end(true), () -> attempt.end(false));
    }

    /** One read and those who wait for it. */
    private final class Attempt {

        private final List<Consumer<Boolean>> receivers;
        private Cancellable timeout = Cancellable.NONE;
        private boolean ended;

        Attempt(List<Consumer<Boolean>> receivers) {
            this.receivers = receivers;
        }

        void end(boolean confirmed) {
            if (ended) {
                return;
            }
            ended = true;
            timeout.cancel();
            reading = false;
            receivers.forEach(receiver -> receiver.accept(confirmed));
            if (!reading && !waiting.isEmpty()) {
                start();
            }
        }
    }
}
