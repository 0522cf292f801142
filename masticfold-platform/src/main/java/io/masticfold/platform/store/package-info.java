/** Client of the object API with the claim store, leases and the configuration source based on it. */
@NullMarked
package io.masticfold.platform.store;

import org.jspecify.annotations.NullMarked;
