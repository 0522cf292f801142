/** Settings of the programs, read from JSON files that may contain comments. */
@NullMarked
package io.masticfold.platform.settings;

import org.jspecify.annotations.NullMarked;
