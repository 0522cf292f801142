/** Error kinds and what each of them means for the response and for retries. */
@NullMarked
package io.masticfold.core.error;

import org.jspecify.annotations.NullMarked;
