/** Structured log, log event catalogue and metrics of the gateway. */
@NullMarked
package io.masticfold.gateway.log;

import org.jspecify.annotations.NullMarked;
