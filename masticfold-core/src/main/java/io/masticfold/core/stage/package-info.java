/** Work done before a request runs: its graph, and the choice of the server for each call. */
@NullMarked
package io.masticfold.core.stage;

import org.jspecify.annotations.NullMarked;
