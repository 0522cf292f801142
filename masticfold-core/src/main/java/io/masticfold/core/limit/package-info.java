/** Limits shared by the entries: workspace rates and concurrency. */
@NullMarked
package io.masticfold.core.limit;

import org.jspecify.annotations.NullMarked;
