/** Versioned configuration: objects, snapshot, merge and digest. */
@NullMarked
package io.masticfold.core.config;

import org.jspecify.annotations.NullMarked;
