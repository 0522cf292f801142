package io.masticfold.core.model;

/** Lists the kinds of targets. */
public enum TargetKind {
    /** A model engine, with streaming results and a prefix cache; accepts orders. */
    ENGINE(true),
    /** A member of a stage pool, for example an encoder, a retriever or a reranker. */
    STAGE(false),
    /** A plain service. */
    SERVICE(false);

    private final boolean takesOrders;

    TargetKind(boolean takesOrders) {
        this.takesOrders = takesOrders;
    }

    /** Returns whether targets of this kind accept orders to load models or to change their role. */
    public boolean takesOrders() {
        return takesOrders;
    }
}
