package io.masticfold.core.gate;

/**
 * One step of a random history.
 *
 * @param action kind of the step
 * @param pick selects one of the existing attempts or calls
 * @param value parameter of the action, such as a duration, a size or a variant
 */
record GateStep(Action action, int pick, int value) {

    /** Kinds of steps. */
    enum Action {
        DISPATCH,
        DISPATCH_NON_IDEMPOTENT,
        DUPLICATE,
        SEAL,
        SEAL_NEW,
        CANCEL,
        CANCEL_ALL,
        COMPLETE,
        FAIL,
        ADVANCE,
        PAUSE,
        REPORT,
        REBOOT,
        ZONE,
        TARGET,
        LEAVE,
        RESTART
    }
}
