/** Decides what a process that is stopping still accepts. */
@NullMarked
package io.masticfold.core.shutdown;

import org.jspecify.annotations.NullMarked;
