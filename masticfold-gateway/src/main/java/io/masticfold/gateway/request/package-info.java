/** Forwarding of requests: routing, choice of a target, sends and retries, and the response to the caller. */
@NullMarked
package io.masticfold.gateway.request;

import org.jspecify.annotations.NullMarked;
