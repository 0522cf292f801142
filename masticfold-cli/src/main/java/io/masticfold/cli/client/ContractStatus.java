package io.masticfold.cli.client;

/**
 * Holds how an entry served a contract.
 *
 * @param name name of the contract
 * @param answered requests answered
 * @param inWindow requests answered within the agreed window
 */
public record ContractStatus(String name, long answered, long inWindow) {

    /** Adds the figures of another entry. */
    public ContractStatus plus(ContractStatus other) {
        return new ContractStatus(name, answered + other.answered, inWindow + other.inWindow);
    }

    /** Returns the share answered within the window, 1 if nothing was answered. */
    public double attainment() {
        return answered == 0 ? 1 : (double) inWindow / answered;
    }
}
