/** Reconciliation of the models that engines serve with the configuration, by orders to the engines. */
@NullMarked
package io.masticfold.core.order;

import org.jspecify.annotations.NullMarked;
