/** Settings of the daemons, read from JSON files with comments. */
@NullMarked
package io.masticfold.platform.settings;

import org.jspecify.annotations.NullMarked;
