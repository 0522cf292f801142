/** HTTP/1.1 towards callers and targets, on one event loop. */
@NullMarked
package io.masticfold.gateway.http;

import org.jspecify.annotations.NullMarked;
