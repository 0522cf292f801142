/** Decides at which software version a stream that was broken off may go on. */
@NullMarked
package io.masticfold.core.resume;

import org.jspecify.annotations.NullMarked;
