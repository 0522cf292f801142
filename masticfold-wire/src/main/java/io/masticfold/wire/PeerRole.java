package io.masticfold.wire;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** Lists the roles a process can have on a link. */
public enum PeerRole {
    ENTRY,
    AGENT;

    private final String code = name().toLowerCase(Locale.ROOT);

    /** Returns the label used on the wire and in proofs. */
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
