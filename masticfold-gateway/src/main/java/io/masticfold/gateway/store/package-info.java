/** Watches the platform's object store for configuration, targets, zones and gateways. */
@NullMarked
package io.masticfold.gateway.store;

import org.jspecify.annotations.NullMarked;
