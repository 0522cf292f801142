/** Structured decision log, counters and the event catalogue of the gateway. */
@NullMarked
package io.masticfold.gateway.log;

import org.jspecify.annotations.NullMarked;
