/** Claims that let a non-idempotent stage run at most once per idempotency key. */
@NullMarked
package io.masticfold.core.claim;

import org.jspecify.annotations.NullMarked;
