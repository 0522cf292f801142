package io.masticfold.gateway.http;

import io.masticfold.core.forward.RequestLimits;

/** Supplies the current limits on requests, which change with the configuration. */
@FunctionalInterface
public interface RequestLimitsSource {

    /** Returns the limits for the next request. */
    RequestLimits current();
}
