package io.masticfold.wire;

/** Creates the dialer of a link. */
@FunctionalInterface
interface DialerFactory {

    /** Creates a dialer that has not dialed yet. */
    Dialer create(TargetLink link);
}
