/** Numbered log events and counters. */
@NullMarked
package io.masticfold.core.telemetry;

import org.jspecify.annotations.NullMarked;
