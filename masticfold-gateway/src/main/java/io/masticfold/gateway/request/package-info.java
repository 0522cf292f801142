/** The way of one forwarded request. */
@NullMarked
package io.masticfold.gateway.request;

import org.jspecify.annotations.NullMarked;
