/** Knows which software versions began the streams that callers take up, and shares it with peers and the store. */
@NullMarked
package io.masticfold.gateway.resume;

import org.jspecify.annotations.NullMarked;
