package io.masticfold.core.model;

/** Lists the kinds of targets. */
public enum TargetKind {
    /** A model engine: streams, prefix cache, orders. */
    ENGINE(true),
    /** A member of a stage pool: encoder, retriever or reranker. */
    STAGE(false),
    /** A plain service. */
    SERVICE(false);

    private final boolean takesOrders;

    TargetKind(boolean takesOrders) {
        this.takesOrders = takesOrders;
    }

    /** Returns whether targets of this kind take orders to load models or change role. */
    public boolean takesOrders() {
        return takesOrders;
    }
}
