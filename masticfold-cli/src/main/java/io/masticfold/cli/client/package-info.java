/** Blocking access of the commands to the object API, the VM list and the status of entries. */
@NullMarked
package io.masticfold.cli.client;

import org.jspecify.annotations.NullMarked;
