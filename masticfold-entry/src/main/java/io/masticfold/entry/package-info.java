/** Entry daemon: HTTP endpoints for callers and operators, links to the agents, and idempotency claims. */
@NullMarked
package io.masticfold.entry;

import org.jspecify.annotations.NullMarked;
