/** The bench subcommand: policies under load and faults, measured with real entries and agents. */
@NullMarked
package io.masticfold.cli.bench;

import org.jspecify.annotations.NullMarked;
