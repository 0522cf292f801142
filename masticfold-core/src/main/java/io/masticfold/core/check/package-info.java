/** Checks of a configuration for request forwarding before it takes effect. */
@NullMarked
package io.masticfold.core.check;

import org.jspecify.annotations.NullMarked;
