/** Versioned configuration objects, and snapshots of them that can be merged and compared by digest. */
@NullMarked
package io.masticfold.core.config;

import org.jspecify.annotations.NullMarked;
