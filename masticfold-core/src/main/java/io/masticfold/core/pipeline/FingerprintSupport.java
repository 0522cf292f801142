package io.masticfold.core.pipeline;

import io.masticfold.core.attempt.Payload;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/** Computes the SHA-256 digests that name claims and tie them to a request body. */
final class FingerprintSupport {

    private FingerprintSupport() {}

    /** Returns the digest of a payload, in lower-case hexadecimal digits. */
    static String of(Payload payload) {
        return payload.sha256();
    }

    /**
     * Returns the digest of an idempotency key, in lower-case hexadecimal digits.
     *
     * @throws NullPointerException if the key is null
     */
    static String ofKey(@Nullable String idempotencyKey) {
        String key = Objects.requireNonNull(idempotencyKey, "a non-idempotent stage needs an idempotency key");
        return Payload.ofUtf8(key).sha256();
    }
}
