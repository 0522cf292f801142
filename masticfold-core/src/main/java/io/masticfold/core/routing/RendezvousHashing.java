package io.masticfold.core.routing;

/** Computes weights for rendezvous (highest random weight) hashing. */
public final class RendezvousHashing {

    // FNV-1a over the characters, followed by one round of the MurmurHash3 finalizer.
    private static final long FNV_OFFSET_BASIS = 0xCBF29CE484222325L;
    private static final long FNV_PRIME = 0x100000001B3L;
    private static final long MIX_MULTIPLIER = 0xFF51AFD7ED558CCDL;
    private static final int MIX_SHIFT = 33;

    private RendezvousHashing() {}

    /** Returns the weight of a node for a key; the node with the highest weight owns the key. */
    public static long weight(long key, String node) {
        long hash = FNV_OFFSET_BASIS ^ key;
        for (int i = 0; i < node.length(); i++) {
            hash = (hash ^ node.charAt(i)) * FNV_PRIME;
        }
        hash ^= hash >>> MIX_SHIFT;
        hash *= MIX_MULTIPLIER;
        return hash ^ (hash >>> MIX_SHIFT);
    }

    /** Returns the hash key of a text. */
    public static long key(String text) {
        return weight(0, text);
    }
}
