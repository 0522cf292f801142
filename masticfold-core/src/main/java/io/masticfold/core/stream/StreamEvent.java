package io.masticfold.core.stream;

import java.nio.charset.StandardCharsets;

/**
 * A complete event of a stream.
 *
 * @param id numeric id of the event; {@link #NO_ID} if it has none
 * @param bytes bytes of the event, including the empty line at its end
 */
public record StreamEvent(long id, byte[] bytes) {

    /** Id of an event without a numeric id. */
    public static final long NO_ID = -1;

    private static final String ID_FIELD = "id:";

    /** Parses the id of an event. */
    static StreamEvent parse(byte[] bytes) {
        long id = NO_ID;
        for (String line : new String(bytes, StandardCharsets.ISO_8859_1).split("\n", -1)) {
            if (line.startsWith(ID_FIELD)) {
                id = parseId(line.substring(ID_FIELD.length()).trim());
            }
        }
        return new StreamEvent(id, bytes);
    }

    private static long parseId(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            // A stream cannot resume after a non-numeric id, so the event is treated like one without an id.
            return NO_ID;
        }
    }

    /** Returns whether the event has an id or data, unlike a comment that only keeps the connection open. */
    public boolean carriesContent() {
        String text = new String(bytes, StandardCharsets.UTF_8);
        return id != NO_ID || text.lines().anyMatch(line -> line.startsWith("data"));
    }
}
