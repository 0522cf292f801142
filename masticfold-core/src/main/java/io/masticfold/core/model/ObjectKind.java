package io.masticfold.core.model;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** Lists the kinds of configuration objects. */
public enum ObjectKind {
    CONTRACT(Contract.class),
    PIPELINE(Pipeline.class),
    ZONE(Zone.class),
    TARGET(Target.class),
    MODEL(Model.class);

    private final String code = name().toLowerCase(Locale.ROOT);
    private final Class<? extends ConfigSpec> type;

    ObjectKind(Class<? extends ConfigSpec> type) {
        this.type = type;
    }

    /** Returns the code used in paths and files. */
    public String code() {
        return code;
    }

    /** Returns the type of the specification. */
    public Class<? extends ConfigSpec> type() {
        return type;
    }

    /** Finds the kind with a code. */
    public static Optional<ObjectKind> ofCode(String code) {
        return Arrays.stream(values()).filter(kind -> kind.code.equals(code)).findFirst();
    }
}
