/** Numbered log events of the platform module. */
@NullMarked
package io.masticfold.platform.event;

import org.jspecify.annotations.NullMarked;
