package io.masticfold.cli.client;

import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.Locale;

/** Creates change ids that name the operator, so that the loser of a race knows whom to ask. */
public final class ChangeIds {

    private static final SecureRandom RANDOM = new SecureRandom();
    private static final int RANDOM_BYTES = 8;
    private static final int MAX_USER_CHARS = 32;

    private ChangeIds() {}

    /** Creates a change id, {@code <user>-<64 random bits>}. */
    public static String next() {
        String user = System.getProperty("user.name", "operator")
                .toLowerCase(Locale.ROOT)
                .replaceAll("[^a-z0-9-]", "");
        byte[] random = new byte[RANDOM_BYTES];
        RANDOM.nextBytes(random);
        return user.substring(0, Math.min(user.length(), MAX_USER_CHARS))
                + '-'
                + HexFormat.of().formatHex(random);
    }
}
