/** Election of the entries that watch the object API. */
@NullMarked
package io.masticfold.core.membership;

import org.jspecify.annotations.NullMarked;
