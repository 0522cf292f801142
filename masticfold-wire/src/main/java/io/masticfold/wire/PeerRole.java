package io.masticfold.wire;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** Roles of the processes at the two ends of a link. */
public enum PeerRole {
    ENTRY,
    AGENT;

    private final String code = name().toLowerCase(Locale.ROOT);

    /** Returns the name of the role used in frames and proofs. */
    public String code() {
        return code;
    }

    /** Returns the role of the process at the other end. */
    public PeerRole opposite() {
        return this == ENTRY ? AGENT : ENTRY;
    }

    static Optional<PeerRole> ofCode(String code) {
        return Arrays.stream(values()).filter(role -> role.code.equals(code)).findFirst();
    }
}
