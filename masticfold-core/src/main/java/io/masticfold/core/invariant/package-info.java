/** Names of what must always hold, used by tests, trials and reports. */
@NullMarked
package io.masticfold.core.invariant;

import org.jspecify.annotations.NullMarked;
