package io.masticfold.core.matrix;

import io.masticfold.core.invariant.Invariant;

/**
 * Reports that a cell broke an invariant.
 *
 * @param invariant the broken invariant
 * @param detail what was seen
 */
record Violation(Invariant invariant, String detail) {}
