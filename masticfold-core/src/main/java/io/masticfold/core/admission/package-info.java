/** Decides which requests are sent to a pool of targets now, which wait and which are rejected. */
@NullMarked
package io.masticfold.core.admission;

import org.jspecify.annotations.NullMarked;
