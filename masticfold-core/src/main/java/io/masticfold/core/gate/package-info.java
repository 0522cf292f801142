/** Admission control of the agent: decides whether and when an attempt may run at the target. */
@NullMarked
package io.masticfold.core.gate;

import org.jspecify.annotations.NullMarked;
