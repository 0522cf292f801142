package io.masticfold.wire;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** Secret shared by all processes of a deployment; {@link #toString()} does not reveal it. */
public final class SharedSecret {

    private static final String ALGORITHM = "HmacSHA256";

    private final byte[] bytes;

    private SharedSecret(byte[] bytes) {
        if (bytes.length == 0) {
            throw new IllegalArgumentException("the shared secret must not be empty");
        }
        this.bytes = bytes;
    }

    /** Creates a secret from a copy of the given bytes. */
    public static SharedSecret of(byte[] bytes) {
        return new SharedSecret(Arrays.copyOf(bytes, bytes.length));
    }

    /** Creates a secret from the UTF-8 encoding of a string. */
    public static SharedSecret ofUtf8(String text) {
        return new SharedSecret(text.getBytes(StandardCharsets.UTF_8));
    }

    Mac hmac() {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(bytes, ALGORITHM));
            return mac;
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(ALGORITHM + " is missing, although every Java platform supports it", e);
        }
    }

    @Override
    public String toString() {
        return "SharedSecret[hidden]";
    }
}
