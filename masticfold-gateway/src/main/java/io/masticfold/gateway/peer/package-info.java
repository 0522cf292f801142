/** Connections between gateways. */
@NullMarked
package io.masticfold.gateway.peer;

import org.jspecify.annotations.NullMarked;
