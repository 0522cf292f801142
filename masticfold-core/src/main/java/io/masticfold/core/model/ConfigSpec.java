package io.masticfold.core.model;

/** Represents the specification of one configuration object. */
public sealed interface ConfigSpec permits Contract, Pipeline, Zone, Target, Model {

    /** Returns the kind of the object. */
    ObjectKind kind();

    /** Returns the name of the object, unique within its kind. */
    String name();
}
