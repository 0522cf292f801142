package io.masticfold.core.matrix;

import io.masticfold.core.invariant.Invariant;

/**
 * Describes a violation of an invariant.
 *
 * @param invariant the violated invariant
 * @param detail the observed behavior
 */
record Violation(Invariant invariant, String detail) {}
