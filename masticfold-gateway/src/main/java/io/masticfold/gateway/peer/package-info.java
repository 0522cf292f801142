/** Connections between gateways and the frames exchanged on them. */
@NullMarked
package io.masticfold.gateway.peer;

import org.jspecify.annotations.NullMarked;
