/** The fault matrix: every fault at every step, over the real decision code and small fakes. */
@NullMarked
package io.masticfold.core.matrix;

import org.jspecify.annotations.NullMarked;
