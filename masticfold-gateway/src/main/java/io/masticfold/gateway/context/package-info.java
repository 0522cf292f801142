/** What every part of the request path uses. */
@NullMarked
package io.masticfold.gateway.context;

import org.jspecify.annotations.NullMarked;
