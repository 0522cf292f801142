/** Commands for operators of a running deployment: zone, target and status. */
@NullMarked
package io.masticfold.cli.operate;

import org.jspecify.annotations.NullMarked;
