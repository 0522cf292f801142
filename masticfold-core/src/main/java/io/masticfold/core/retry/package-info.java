/** Retry budgets, which keep retries at a share of the requests. */
@NullMarked
package io.masticfold.core.retry;

import org.jspecify.annotations.NullMarked;
