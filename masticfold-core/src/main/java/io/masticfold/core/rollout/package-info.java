/** Decisions on orders that move a pool to another software version. */
@NullMarked
package io.masticfold.core.rollout;

import org.jspecify.annotations.NullMarked;
