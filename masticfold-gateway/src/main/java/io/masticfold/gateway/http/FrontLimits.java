package io.masticfold.gateway.http;

import io.masticfold.core.forward.RequestLimits;

/** Supplies the bounds on requests in force, which change with the configuration. */
@FunctionalInterface
public interface FrontLimits {

    /** Returns the bounds for the next request. */
    RequestLimits current();
}
