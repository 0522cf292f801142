/** Tests of the whole system as separate operating system processes. */
@NullMarked
package io.masticfold.cli.process;

import org.jspecify.annotations.NullMarked;
