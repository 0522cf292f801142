/** Scheduling of stage work: admission, server queues, batched calls, and the release of intermediate results. */
@NullMarked
package io.masticfold.gateway.stage;

import org.jspecify.annotations.NullMarked;
