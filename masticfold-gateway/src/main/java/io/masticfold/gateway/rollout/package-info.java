/** Orders that move a pool to another software version: state, exchange between gateways, and the store. */
@NullMarked
package io.masticfold.gateway.rollout;

import org.jspecify.annotations.NullMarked;
