/** The entry daemon: callers and operators over HTTP, links to the agents, claims. */
@NullMarked
package io.masticfold.entry;

import org.jspecify.annotations.NullMarked;
