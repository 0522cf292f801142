/** Splitting and reassembly of streamed answers. */
@NullMarked
package io.masticfold.core.stream;

import org.jspecify.annotations.NullMarked;
