/** Calls to stage pools: batches, results and their release. */
@NullMarked
package io.masticfold.gateway.stage;

import org.jspecify.annotations.NullMarked;
