package io.masticfold.core.stream;

import java.nio.charset.StandardCharsets;

/**
 * Holds one whole event of a stream.
 *
 * @param id number of the event; {@link #NO_ID} if it has none
 * @param bytes the event with the empty line that ends it
 */
public record StreamEvent(long id, byte[] bytes) {

    /** Number of an event without one. */
    public static final long NO_ID = -1;

    private static final String ID_FIELD = "id:";

    /** Reads the number of an event from its bytes. */
    static StreamEvent parse(byte[] bytes) {
        long id = NO_ID;
        for (String line : new String(bytes, StandardCharsets.ISO_8859_1).split("\n", -1)) {
            if (line.startsWith(ID_FIELD)) {
                id = number(line.substring(ID_FIELD.length()).trim());
            }
        }
        return new StreamEvent(id, bytes);
    }

    private static long number(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            // An id that is no number cannot be resumed after; it is passed on like an event without one.
            return NO_ID;
        }
    }
}
