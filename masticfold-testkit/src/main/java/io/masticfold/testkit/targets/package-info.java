/** Stand-in for targets: model engines, stage pools and plain services. */
@NullMarked
package io.masticfold.testkit.targets;

import org.jspecify.annotations.NullMarked;
