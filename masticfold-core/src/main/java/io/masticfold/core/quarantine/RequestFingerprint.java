package io.masticfold.core.quarantine;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Identifies a request by its content, so that its repetitions are recognized at every gateway whatever attempt,
 * connection and deadline they have.
 */
public final class RequestFingerprint {

    /** Bytes of the digest that are kept; requests of one workspace collide with a negligible probability. */
    private static final int KEPT_BYTES = 16;

    private RequestFingerprint() {}

    /**
     * Returns the fingerprint of a request: 32 hexadecimal digits.
     *
     * @param method request method
     * @param host host of the route in lower case, without a port
     * @param uri path and query as received
     * @param workspace name of the caller's workspace; empty on open routes
     * @param body complete body
     */
    public static String of(String method, String host, String uri, String workspace, byte[] body) {
        MessageDigest digest = sha256();
        for (String field : new String[] {method, host, uri, workspace}) {
            byte[] bytes = field.getBytes(StandardCharsets.UTF_8);
            updateLength(digest, bytes.length);
            digest.update(bytes);
        }
        digest.update(body);
        return HexFormat.of().formatHex(digest.digest(), 0, KEPT_BYTES);
    }

    private static void updateLength(MessageDigest digest, int length) {
        for (int shift = Integer.SIZE - Byte.SIZE; shift >= 0; shift -= Byte.SIZE) {
            digest.update((byte) (length >>> shift));
        }
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform provides SHA-256", e);
        }
    }
}
