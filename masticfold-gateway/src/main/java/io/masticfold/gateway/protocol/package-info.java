/** Interfaces that a platform adapter implements, and the types they exchange with the gateway. */
@NullMarked
package io.masticfold.gateway.protocol;

import org.jspecify.annotations.NullMarked;
