/** Reassembly and flow control of streamed results. */
@NullMarked
package io.masticfold.core.stream;

import org.jspecify.annotations.NullMarked;
