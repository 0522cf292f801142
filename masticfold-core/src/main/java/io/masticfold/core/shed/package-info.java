/** Load shedding by business worth per unit of cost. */
@NullMarked
package io.masticfold.core.shed;

import org.jspecify.annotations.NullMarked;
