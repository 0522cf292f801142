package io.masticfold.cli.bench;

/**
 * Holds the cost of one operation at one size.
 *
 * @param what the operation
 * @param size size it was measured at
 * @param unit what the size counts
 * @param value the cost
 * @param valueUnit unit of the cost
 */
record SlopeRow(String what, int size, String unit, double value, String valueUnit) {}
