/** Attempts to run a stage: ids, dispatch messages, outcomes and the ledger of an agent. */
@NullMarked
package io.masticfold.core.attempt;

import org.jspecify.annotations.NullMarked;
