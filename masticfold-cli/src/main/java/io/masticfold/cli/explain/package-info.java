/** Follows one request through the decision logs of several processes. */
@NullMarked
package io.masticfold.cli.explain;

import org.jspecify.annotations.NullMarked;
