package io.masticfold.wire;

/** Creates the dialer of a link. */
@FunctionalInterface
interface DialerFactory {

    /** Creates a dialer that is not started. */
    Dialer create(TargetLink link);
}
