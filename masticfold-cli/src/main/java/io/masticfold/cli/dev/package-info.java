/** The dev subcommand: a whole deployment with stand-ins in one process. */
@NullMarked
package io.masticfold.cli.dev;

import org.jspecify.annotations.NullMarked;
