package io.masticfold.gateway.http;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/**
 * Remembers what identifies the responses that one connection has delivered, so that a second copy of a response is
 * recognized however late it arrives: a copy arrives on the connection of the first. Not thread-safe.
 */
final class DeliveredIdentities {

    /** Total length of the identities from which on the connection must not carry another exchange. */
    static final int MAX_CHARACTERS = 32 * 1024;

    private final Set<String> identities = new HashSet<>();
    private long characters;

    /** Adds the identities of a response; returns whether none of them was known. */
    boolean add(Collection<String> added) {
        boolean allNew = true;
        for (String identity : added) {
            if (identities.add(identity)) {
                characters += identity.length();
            } else {
                allNew = false;
            }
        }
        return allNew;
    }

    /** Returns whether no more identities may be added. */
    boolean full() {
        return characters >= MAX_CHARACTERS;
    }
}
