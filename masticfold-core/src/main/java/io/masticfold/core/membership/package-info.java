/** Liveness of links and peers, and subsets of them. */
@NullMarked
package io.masticfold.core.membership;

import org.jspecify.annotations.NullMarked;
