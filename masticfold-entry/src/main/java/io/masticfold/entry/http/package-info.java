/** HTTP endpoints for callers and operators. */
@NullMarked
package io.masticfold.entry.http;

import org.jspecify.annotations.NullMarked;
