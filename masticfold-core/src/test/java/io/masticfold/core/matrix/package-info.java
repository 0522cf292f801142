/**
 * Fault matrix: injects every fault at every step of a request in a simulation of the system and checks the invariants.
 * The decision logic of entries and agents is the production code; links, targets and the object API are fakes.
 */
@NullMarked
package io.masticfold.core.matrix;

import org.jspecify.annotations.NullMarked;
