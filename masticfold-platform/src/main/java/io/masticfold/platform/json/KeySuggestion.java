package io.masticfold.platform.json;

import java.util.Collection;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Pattern;

/** Suggests the known key for a key that differs from it only in its unit suffix or in case. */
final class KeySuggestion {

    private static final Pattern UNIT_SUFFIX =
            Pattern.compile("(nanos|micros|millis|milliseconds|ms|seconds|secs|sec|minutes|mins|min|hours"
                    + "|bytes|kib|mib|gib|kb|mb|gb)$");

    private KeySuggestion() {}

    /** Returns the known key that was probably intended. */
    static Optional<String> suggest(String key, Collection<String> accepted) {
        String stem = stem(key);
        return accepted.stream()
                .filter(candidate -> stem(candidate).equals(stem))
                .findFirst();
    }

    private static String stem(String key) {
        return UNIT_SUFFIX.matcher(key.toLowerCase(Locale.ROOT)).replaceFirst("");
    }
}
