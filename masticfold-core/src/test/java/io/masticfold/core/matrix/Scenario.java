package io.masticfold.core.matrix;

import io.masticfold.core.model.Pipeline;
import io.masticfold.core.model.Stage;
import java.util.List;
import java.util.Locale;

/** Requests under test. */
enum Scenario {
    READ_STREAM(true, new Stage("read", "pool", true, 5, 1, true)),
    READ_THEN_PAY(false, new Stage("read", "pool", true, 5, 1, false), new Stage("pay", "pool", false, 5, 1, false)),
    /** The caller repeats the request with the same key through the other entry before it has received an answer. */
    PAY_IMPATIENT(false, new Stage("pay", "pool", false, 5, 1, false));

    private final boolean idempotent;
    private final Pipeline pipeline;

    Scenario(boolean idempotent, Stage... stages) {
        this.idempotent = idempotent;
        this.pipeline = new Pipeline(name().toLowerCase(Locale.ROOT).replace('_', '-'), List.of(stages), 1000);
    }

    boolean idempotent() {
        return idempotent;
    }

    boolean sendsDuplicate() {
        return this == PAY_IMPATIENT;
    }

    Pipeline pipeline() {
        return pipeline;
    }
}
