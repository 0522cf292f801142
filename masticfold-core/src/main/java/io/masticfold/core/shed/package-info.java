/** Load shedding by the worth of requests per unit of cost. */
@NullMarked
package io.masticfold.core.shed;

import org.jspecify.annotations.NullMarked;
