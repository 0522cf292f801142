package io.masticfold.wire;

import io.masticfold.core.attempt.Incarnation;

/**
 * Identity of the process at one end of a link.
 *
 * @param process name of the process
 * @param zone availability zone of the process
 * @param role role of the process
 * @param incarnation incarnation of the process
 */
public record WireIdentity(String process, String zone, PeerRole role, Incarnation incarnation) {

    /** Validates the process name. */
    public WireIdentity {
        if (process.isEmpty() || process.length() > WireLimits.MAX_NAME_CHARS) {
            throw new IllegalArgumentException(
                    "process name must have 1 to " + WireLimits.MAX_NAME_CHARS + " characters: '" + process + "'");
        }
    }
}
