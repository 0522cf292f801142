/** The gateway process, which forwards requests of callers to the targets of their route. */
@NullMarked
package io.masticfold.gateway;

import org.jspecify.annotations.NullMarked;
