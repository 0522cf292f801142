package io.masticfold.testkit.object;

import java.util.Locale;

/** Lists the kinds of calls to the object API. */
public enum CallKind {
    GET(false),
    LIST(false),
    WATCH(false),
    PUT(true),
    DELETE(true);

    private final boolean write;

    CallKind(boolean write) {
        this.write = write;
    }

    /** Returns whether calls of this kind change the store. */
    public boolean write() {
        return write;
    }

    /** Returns the name used in {@code GET /v1/calls}. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
