package io.masticfold.core.gate;

import io.masticfold.core.telemetry.CoreEvent;
import io.masticfold.core.telemetry.Telemetry;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs actions that were decided under the gate's lock, such as calls to the target and to listeners, after the lock
 * has been released. Actions added by a running action on the same thread are queued behind it, so that a target that
 * answers synchronously does not lead to recursion.
 */
final class DeferredActions {

    private static final Logger LOGGER = LoggerFactory.getLogger(DeferredActions.class);
    private static final ThreadLocal<Deque<Runnable>> RUNNING = new ThreadLocal<>();

    private final Telemetry telemetry;

    DeferredActions(Telemetry telemetry) {
        this.telemetry = telemetry;
    }

    void run(List<Runnable> actions) {
        Deque<Runnable> outer = RUNNING.get();
        if (outer != null) {
            outer.addAll(actions);
            return;
        }
        if (!actions.isEmpty()) {
            runAll(new ArrayDeque<>(actions));
        }
    }

    private void runAll(Deque<Runnable> pending) {
        RUNNING.set(pending);
        try {
            while (!pending.isEmpty()) {
                runOne(pending.removeFirst());
            }
        } finally {
            RUNNING.remove();
        }
    }

    /** Runs one action; an exception thrown by a listener must not prevent the remaining actions from running. */
    private void runOne(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            telemetry.count("gate_action_failed");
            CoreEvent.GATE_ACTION_FAILED.log(LOGGER, e);
        }
    }
}
