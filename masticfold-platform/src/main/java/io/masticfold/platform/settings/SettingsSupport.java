package io.masticfold.platform.settings;

import java.util.regex.Pattern;

/** Validates setting values. */
final class SettingsSupport {

    /** Minimum length in characters; shorter secrets can be brute-forced offline from one observed handshake. */
    static final int MIN_SECRET_CHARS = 16;

    private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?");

    private SettingsSupport() {}

    static void checkName(String what, String name) {
        if (!NAME.matcher(name).matches()) {
            throw new IllegalArgumentException(what + " must be 1 to 63 of a-z, 0-9 and inner '-': '" + name + "'");
        }
    }

    static void checkRange(String what, int value, int min, int max) {
        if (value < min || value > max) {
            throw new IllegalArgumentException(what + " must be " + min + " to " + max + ": " + value);
        }
    }

    static void checkSecret(String secret) {
        if (secret.length() < MIN_SECRET_CHARS) {
            throw new IllegalArgumentException(
                    "sharedSecret must have at least " + MIN_SECRET_CHARS + " characters, has " + secret.length());
        }
    }
}
