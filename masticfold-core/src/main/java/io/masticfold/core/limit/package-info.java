/** Admission limits of workspaces: concurrency, and rates that are shared by the entries. */
@NullMarked
package io.masticfold.core.limit;

import org.jspecify.annotations.NullMarked;
