/** Load balancing: the choice of a target for an attempt. */
@NullMarked
package io.masticfold.core.routing;

import org.jspecify.annotations.NullMarked;
