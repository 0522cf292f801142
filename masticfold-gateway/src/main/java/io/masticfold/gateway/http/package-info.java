/** HTTP/1.1 server and client of the gateway, on one event loop. */
@NullMarked
package io.masticfold.gateway.http;

import org.jspecify.annotations.NullMarked;
