package io.masticfold.core.model;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Validates values of specifications. */
final class SpecChecks {

    private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?");
    private static final Pattern ADDRESS = Pattern.compile("(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+]):(\\d{1,5})");
    private static final int MAX_PORT = 65_535;

    private SpecChecks() {}

    static void checkName(String what, String name) {
        if (!NAME.matcher(name).matches()) {
            throw new IllegalArgumentException(
                    what + " name must be 1 to 63 of a-z, 0-9 and inner '-': '" + name + "'");
        }
    }

    static void checkRange(String what, int value, int min, int max) {
        if (value < min || value > max) {
            throw new IllegalArgumentException(what + " must be " + min + " to " + max + ": " + value);
        }
    }

    static void checkPositive(String what, double value) {
        if (!(value > 0) || Double.isInfinite(value)) {
            throw new IllegalArgumentException(what + " must be a positive number: " + value);
        }
    }

    static void checkAddress(String what, String address) {
        Matcher matcher = ADDRESS.matcher(address);
        if (!matcher.matches()
                || Integer.parseInt(matcher.group(3)) > MAX_PORT
                || Integer.parseInt(matcher.group(3)) == 0) {
            throw new IllegalArgumentException(what + " must be an IP number and port, ip:port: '" + address + "'");
        }
    }
}
