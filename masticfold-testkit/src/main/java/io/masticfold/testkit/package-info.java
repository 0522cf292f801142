/** Stand-ins for the systems around masticfold, usable in a test process or as processes of their own. */
@NullMarked
package io.masticfold.testkit;

import org.jspecify.annotations.NullMarked;
