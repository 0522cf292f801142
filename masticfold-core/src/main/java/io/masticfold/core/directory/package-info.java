/** Targets that are registered in the service directory. */
@NullMarked
package io.masticfold.core.directory;

import org.jspecify.annotations.NullMarked;
