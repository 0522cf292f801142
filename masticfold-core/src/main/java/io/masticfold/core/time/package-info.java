/** Clock, scheduler and deadlines, replaceable by virtual time in tests. */
@NullMarked
package io.masticfold.core.time;

import org.jspecify.annotations.NullMarked;
