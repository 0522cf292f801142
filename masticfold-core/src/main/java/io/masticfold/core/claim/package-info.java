/** Idempotency claims of non-idempotent stages. */
@NullMarked
package io.masticfold.core.claim;

import org.jspecify.annotations.NullMarked;
