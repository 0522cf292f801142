package io.masticfold.core.matrix;

import java.util.EnumSet;

/** Lists the steps of a request and of an operator's change at which a fault may strike. */
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

    private final boolean operator;

    Step(boolean operator) {
        this.operator = operator;
    }

    /** Returns whether the step belongs to an operator's change. */
    boolean operator() {
        return operator;
    }

    /** Returns whether a message between an entry and an agent is on its way; changes are made under load. */
    boolean onLink() {
        return !EnumSet.of(ACCEPT, CLAIM, ROUTE).contains(this);
    }
}
