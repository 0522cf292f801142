/** Bounded HTTP calls to numeric addresses over an event loop of their own. */
@NullMarked
package io.masticfold.platform.http;

import org.jspecify.annotations.NullMarked;
