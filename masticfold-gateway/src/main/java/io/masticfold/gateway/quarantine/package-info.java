/** Holds back requests that crash targets, and shares the evidence with peers and the store. */
@NullMarked
package io.masticfold.gateway.quarantine;

import org.jspecify.annotations.NullMarked;
