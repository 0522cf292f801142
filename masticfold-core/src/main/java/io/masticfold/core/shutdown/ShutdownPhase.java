package io.masticfold.core.shutdown;

import java.time.Duration;

/** Phases of a graceful shutdown, in their order. */
public enum ShutdownPhase {
    /** No shutdown has begun. */
    RUNNING {
        @Override
        boolean accepts(Duration _left, Duration _expected, Duration _longest) {
            return true;
        }
    },
    /** Callers may not know yet that the process is stopping: takes what is expected to end in time. */
    ANNOUNCING {
        @Override
        boolean accepts(Duration left, Duration expected, Duration _longest) {
            return expected.compareTo(left) <= 0;
        }
    },
    /** Callers know that the process is stopping: takes only what must end in time. */
    FINISHING {
        @Override
        boolean accepts(Duration left, Duration _expected, Duration longest) {
            return longest.compareTo(left) <= 0;
        }
    },
    /** The process is about to exit and takes nothing. */
    EXITING {
        @Override
        boolean accepts(Duration _left, Duration _expected, Duration _longest) {
            return false;
        }
    };

    /**
     * Returns whether a request may start in this phase.
     *
     * @param left time until the process exits
     * @param expected time that such a request is expected to take
     * @param longest time after which the request is answered or ended in any case
     */
    abstract boolean accepts(Duration left, Duration expected, Duration longest);
}
