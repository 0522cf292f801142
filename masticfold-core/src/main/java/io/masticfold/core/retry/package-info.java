/** Retry budget. */
@NullMarked
package io.masticfold.core.retry;

import org.jspecify.annotations.NullMarked;
