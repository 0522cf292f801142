package io.masticfold.gateway.http;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Converts request targets from what the decoder returns, which makes a character of each byte, to the text that the
 * encoder writes as UTF-8 and that routes are compared with. Bytes beyond ASCII that are not valid UTF-8 could not be
 * passed on as they came.
 */
final class RequestTarget {

    private static final int FIRST_BEYOND_ASCII = 0x80;

    private RequestTarget() {}

    /** Returns the text whose encoding is the bytes of a received target; empty if there is none. */
    static Optional<String> decode(String received) {
        if (ascii(received)) {
            return Optional.of(received);
        }
        try {
            return Optional.of(StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(received.getBytes(StandardCharsets.ISO_8859_1)))
                    .toString());
        } catch (CharacterCodingException e) {
            return Optional.empty();
        }
    }

    private static boolean ascii(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) >= FIRST_BEYOND_ASCII) {
                return false;
            }
        }
        return true;
    }
}
