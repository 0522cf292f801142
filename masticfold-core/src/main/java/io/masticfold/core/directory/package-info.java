/** Targets known from the service directory, with their state and zone. */
@NullMarked
package io.masticfold.core.directory;

import org.jspecify.annotations.NullMarked;
