/** Orders to engines. */
@NullMarked
package io.masticfold.core.order;

import org.jspecify.annotations.NullMarked;
