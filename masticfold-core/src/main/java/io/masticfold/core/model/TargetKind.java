package io.masticfold.core.model;

/** Lists the kinds of targets. */
public enum TargetKind {
    /** A model engine, with streaming results and a prefix cache; accepts orders. */
    ENGINE(true),
    /** A member of a stage pool, for example an encoder, a retriever or a reranker. */
    STAGE(false),
    /** A plain service. */
    SERVICE(false);

    private final boolean acceptsOrders;

    TargetKind(boolean acceptsOrders) {
        this.acceptsOrders = acceptsOrders;
    }

    /** Returns whether targets of this kind accept orders to load models or to change their role. */
    public boolean acceptsOrders() {
        return acceptsOrders;
    }
}
