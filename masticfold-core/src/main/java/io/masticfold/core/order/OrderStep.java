package io.masticfold.core.order;

/** Next step of an agent to bring its engine to the desired state. */
public sealed interface OrderStep permits RequestPermit, AwaitChange, SendOrder {}
