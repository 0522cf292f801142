package io.masticfold.core.pipeline;

import io.masticfold.core.attempt.Payload;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/** Computes the SHA-256 digests that name and guard claims. */
final class FingerprintSupport {

    private FingerprintSupport() {}

    /** Returns the digest of a payload, in lower-case hexadecimal digits. */
    static String of(Payload payload) {
        return digest(payload.unsafeBytes());
    }

    /**
     * Returns the digest of an idempotency key, in lower-case hexadecimal digits.
     *
     * @throws NullPointerException if the key is null
     */
    static String ofKey(@Nullable String idempotencyKey) {
        String key = Objects.requireNonNull(idempotencyKey, "a non-idempotent stage needs an idempotency key");
        return digest(key.getBytes(StandardCharsets.UTF_8));
    }

    private static String digest(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
