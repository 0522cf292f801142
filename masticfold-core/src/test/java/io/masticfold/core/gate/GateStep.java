package io.masticfold.core.gate;

/**
 * Holds one step of a random history.
 *
 * @param action what happens
 * @param pick chooses among the attempts or calls there are
 * @param value chooses among the variants of the action
 */
record GateStep(Action action, int pick, int value) {

    /** Lists what can happen at an agent. */
    enum Action {
        DISPATCH,
        DISPATCH_PAYMENT,
        DUPLICATE,
        SEAL,
        SEAL_UNSEEN,
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
