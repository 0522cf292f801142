/** Subcommands that run a daemon until it is asked to stop. */
@NullMarked
package io.masticfold.cli.daemon;

import org.jspecify.annotations.NullMarked;
