/** Closed list of error kinds and the table from kind to answer. */
@NullMarked
package io.masticfold.core.error;

import org.jspecify.annotations.NullMarked;
