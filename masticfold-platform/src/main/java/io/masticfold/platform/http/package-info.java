/** HTTP client with bounded resources for numeric addresses, based on an event loop. */
@NullMarked
package io.masticfold.platform.http;

import org.jspecify.annotations.NullMarked;
