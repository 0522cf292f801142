/** Choice of the target that a request is sent to. */
@NullMarked
package io.masticfold.core.placement;

import org.jspecify.annotations.NullMarked;
