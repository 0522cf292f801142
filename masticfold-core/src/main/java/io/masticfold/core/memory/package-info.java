/** Decides who may use how much of the memory that a process holds for others, and which slow readers are shed. */
@NullMarked
package io.masticfold.core.memory;

import org.jspecify.annotations.NullMarked;
