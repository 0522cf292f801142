package io.masticfold.wire;

import io.masticfold.core.attempt.Incarnation;

/**
 * Names the process that holds one end of a link.
 *
 * @param process name of the process
 * @param zone availability zone it runs in
 * @param role role of the process
 * @param incarnation incarnation of the process
 */
public record WireIdentity(String process, String zone, PeerRole role, Incarnation incarnation) {

    /** Checks the names. */
    public WireIdentity {
        if (process.isEmpty() || process.length() > WireLimits.MAX_NAME_CHARS) {
            throw new IllegalArgumentException(
                    "process name must have 1 to " + WireLimits.MAX_NAME_CHARS + " characters: '" + process + "'");
        }
    }
}
