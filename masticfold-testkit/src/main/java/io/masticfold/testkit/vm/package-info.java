/** Stand-in for the VM list of the platform. */
@NullMarked
package io.masticfold.testkit.vm;

import org.jspecify.annotations.NullMarked;
