/** Stand-in for the object API of the platform. */
@NullMarked
package io.masticfold.testkit.object;

import org.jspecify.annotations.NullMarked;
