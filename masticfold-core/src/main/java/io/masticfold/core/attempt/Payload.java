package io.masticfold.core.attempt;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;
import org.jspecify.annotations.Nullable;

/** Immutable sequence of bytes. */
public final class Payload {

    /** The empty payload. */
    public static final Payload EMPTY = new Payload(new byte[0]);

    private final byte[] bytes;

    private Payload(byte[] bytes) {
        this.bytes = bytes;
    }

    /** Wraps an array without copying; the caller must not modify it afterwards. */
    public static Payload wrap(byte[] bytes) {
        return bytes.length == 0 ? EMPTY : new Payload(bytes);
    }

    /** Encodes a text as UTF-8. */
    public static Payload ofUtf8(String text) {
        return wrap(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the number of bytes. */
    public int size() {
        return bytes.length;
    }

    /** Returns the backing array without copying; the caller must not modify it. */
    public byte[] unsafeBytes() {
        return bytes;
    }

    /** Decodes the bytes as UTF-8. */
    public String utf8() {
        return new String(bytes, StandardCharsets.UTF_8);
    }

    /** Returns the SHA-256 of the bytes, as lowercase hexadecimal digits. */
    public String sha256() {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("the Java platform does not provide SHA-256", e);
        }
    }

    @Override
    public boolean equals(@Nullable Object other) {
        return other instanceof Payload that && Arrays.equals(bytes, that.bytes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(bytes);
    }

    @Override
    public String toString() {
        return "Payload[" + bytes.length + " bytes]";
    }
}
