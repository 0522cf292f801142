package io.masticfold.platform.json;

import java.util.Collection;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Pattern;

/** Recognises keys that differ from an accepted key only in their unit or in upper and lower case. */
final class UnitSupport {

    private static final Pattern UNIT =
            Pattern.compile("(nanos|micros|millis|milliseconds|ms|seconds|secs|sec|minutes|mins|min|hours"
                    + "|bytes|kib|mib|gib|kb|mb|gb)$");

    private UnitSupport() {}

    /** Finds the accepted key that was probably meant. */
    static Optional<String> meant(String key, Collection<String> accepted) {
        String stem = stem(key);
        return accepted.stream()
                .filter(candidate -> stem(candidate).equals(stem))
                .findFirst();
    }

    private static String stem(String key) {
        return UNIT.matcher(key.toLowerCase(Locale.ROOT)).replaceFirst("");
    }
}
