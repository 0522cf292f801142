/** Reads configuration and targets from the platform's object store. */
@NullMarked
package io.masticfold.gateway.store;

import org.jspecify.annotations.NullMarked;
