/** Generated messages between gateways. */
@NullMarked
package io.masticfold.gateway.peer.proto;

import org.jspecify.annotations.NullMarked;
