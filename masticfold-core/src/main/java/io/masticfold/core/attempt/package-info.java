/** Attempts of a stage: ids, messages, outcomes. */
@NullMarked
package io.masticfold.core.attempt;

import org.jspecify.annotations.NullMarked;
