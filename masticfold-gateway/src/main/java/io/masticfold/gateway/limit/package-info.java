/** Rate limits that targets name, shared among the gateways. */
@NullMarked
package io.masticfold.gateway.limit;

import org.jspecify.annotations.NullMarked;
