/** Routes of forwarded requests: configuration, matching, kinds and limits. */
@NullMarked
package io.masticfold.core.forward;

import org.jspecify.annotations.NullMarked;
