package io.masticfold.core.config;

/** Hashes the keys and versions of configuration objects; a digest of the configuration is the sum of these hashes. */
final class ConfigDigestSupport {

    private static final long MULTIPLIER = 0x9E3779B97F4A7C15L;
    private static final int SHIFT = 32;

    private ConfigDigestSupport() {}

    static long hash(ObjectKey key, long version) {
        String text = key.toString();
        long hash = 0;
        for (int i = 0; i < text.length(); i++) {
            hash = mix(hash ^ text.charAt(i));
        }
        return mix(hash ^ version);
    }

    private static long mix(long value) {
        long mixed = (value + MULTIPLIER) * MULTIPLIER;
        return mixed ^ (mixed >>> SHIFT);
    }
}
