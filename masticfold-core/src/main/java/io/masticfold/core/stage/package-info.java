/** Stages that prepare a request: dependency graph, admission, batching and choice of the server. */
@NullMarked
package io.masticfold.core.stage;

import org.jspecify.annotations.NullMarked;
