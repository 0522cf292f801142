/** Client of the VM list. */
@NullMarked
package io.masticfold.platform.vm;

import org.jspecify.annotations.NullMarked;
