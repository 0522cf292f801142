/** Interfaces between entries and agents; implemented by the transport, and by direct calls in tests. */
@NullMarked
package io.masticfold.core.link;

import org.jspecify.annotations.NullMarked;
