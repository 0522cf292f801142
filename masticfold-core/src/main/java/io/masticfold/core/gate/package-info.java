/** The agent's admission of attempts to its target. */
@NullMarked
package io.masticfold.core.gate;

import org.jspecify.annotations.NullMarked;
