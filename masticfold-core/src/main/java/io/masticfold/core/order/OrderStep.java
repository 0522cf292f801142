package io.masticfold.core.order;

/** Represents the next step of an agent towards the goal of its engine. */
public sealed interface OrderStep permits AskPermit, AwaitChange, SendOrder {}
