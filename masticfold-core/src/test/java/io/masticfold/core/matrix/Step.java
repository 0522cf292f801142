package io.masticfold.core.matrix;

import java.util.EnumSet;

/** Steps of a request and of a configuration change by an operator at which a fault can be injected. */
enum Step {
    ACCEPT(false),
    CLAIM(false),
    ROUTE(false),
    SEND(false),
    ADMIT(false),
    RUN(false),
    STREAM(false),
    RESULT(false),
    ANSWER(false),
    CHANGE_SUBMIT(true),
    CHANGE_ACCEPT(true),
    CHANGE_DISTRIBUTE(true),
    CHANGE_APPLY(true);

    private final boolean operatorChange;

    Step(boolean operatorChange) {
        this.operatorChange = operatorChange;
    }

    /** Returns whether the step belongs to a configuration change by an operator. */
    boolean operatorChange() {
        return operatorChange;
    }

    /**
     * Returns whether messages between an entry and an agent are in flight in this step. This includes all steps of a
     * configuration change, because changes are made under load.
     */
    boolean hasMessagesInFlight() {
        return !EnumSet.of(ACCEPT, CLAIM, ROUTE).contains(this);
    }
}
