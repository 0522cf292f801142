/** Services and state shared by all parts of the request path. */
@NullMarked
package io.masticfold.gateway.context;

import org.jspecify.annotations.NullMarked;
