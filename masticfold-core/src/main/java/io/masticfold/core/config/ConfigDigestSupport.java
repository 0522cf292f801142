package io.masticfold.core.config;

/** Hashes keys and versions for configuration digests. */
final class ConfigDigestSupport {

    private static final long MULTIPLIER = 0x9E3779B97F4A7C15L;
    private static final int SHIFT = 32;

    private ConfigDigestSupport() {}

    static long hash(ObjectKey key, long version) {
        long hash = mix(key.kind().ordinal());
        for (int i = 0; i < key.name().length(); i++) {
            hash = mix(hash ^ key.name().charAt(i));
        }
        return mix(hash ^ version);
    }

    private static long mix(long value) {
        long mixed = (value + MULTIPLIER) * MULTIPLIER;
        return mixed ^ (mixed >>> SHIFT);
    }
}
