/** Injected time: clock, scheduler and deadlines. */
@NullMarked
package io.masticfold.core.time;

import org.jspecify.annotations.NullMarked;
