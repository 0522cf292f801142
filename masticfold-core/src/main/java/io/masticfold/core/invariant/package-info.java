/** Invariants of the system, referenced by tests, trials and reports. */
@NullMarked
package io.masticfold.core.invariant;

import org.jspecify.annotations.NullMarked;
