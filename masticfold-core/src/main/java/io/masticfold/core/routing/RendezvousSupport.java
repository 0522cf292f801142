package io.masticfold.core.routing;

/** Computes rendezvous-hashing weights. */
public final class RendezvousSupport {

    private static final long OFFSET = 0xCBF29CE484222325L;
    private static final long PRIME = 0x100000001B3L;
    private static final long MIX = 0xFF51AFD7ED558CCDL;
    private static final int SHIFT = 33;

    private RendezvousSupport() {}

    /** Returns the weight of a node for a key; the node with the highest weight owns the key. */
    public static long weight(long key, String node) {
        long hash = OFFSET ^ key;
        for (int i = 0; i < node.length(); i++) {
            hash = (hash ^ node.charAt(i)) * PRIME;
        }
        hash ^= hash >>> SHIFT;
        hash *= MIX;
        return hash ^ (hash >>> SHIFT);
    }

    /** Hashes a text to a key. */
    public static long key(String text) {
        return weight(0, text);
    }
}
