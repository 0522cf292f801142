/** Clients of the object API and the VM list: objects, claims, leases and the configuration source. */
@NullMarked
package io.masticfold.platform.store;

import org.jspecify.annotations.NullMarked;
