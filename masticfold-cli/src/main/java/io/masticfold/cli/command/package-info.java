/** Contract of the subcommands, their exit codes and their common options. */
@NullMarked
package io.masticfold.cli.command;

import org.jspecify.annotations.NullMarked;
