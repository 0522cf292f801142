/** Liveness of peers, and which processes keep contact with the object API. */
@NullMarked
package io.masticfold.core.membership;

import org.jspecify.annotations.NullMarked;
