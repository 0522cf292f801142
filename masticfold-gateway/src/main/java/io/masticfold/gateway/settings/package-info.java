/** Settings of the gateway. */
@NullMarked
package io.masticfold.gateway.settings;

import org.jspecify.annotations.NullMarked;
