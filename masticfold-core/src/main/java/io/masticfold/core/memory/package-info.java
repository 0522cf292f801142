/** Decides who may use how much of the memory that a process holds for others, and which slow readers are shed. */
@org.jspecify.annotations.NullMarked
package io.masticfold.core.memory;
