package io.masticfold.core.stream;

/**
 * A complete event of a stream, or the bytes between two events.
 *
 * @param id numeric id of the event; {@link #NO_ID} if it has none
 * @param carriesContent whether it has an id or data, unlike comments and empty lines that only keep the connection
 *     open
 * @param bytes bytes of the event, including the empty line at its end
 */
public record StreamEvent(long id, boolean carriesContent, byte[] bytes) {

    /** Id of an event without a numeric id. */
    public static final long NO_ID = -1;

    /** Returns an event that has an id or data. */
    static StreamEvent content(long id, byte[] bytes) {
        return new StreamEvent(id, true, bytes);
    }

    /** Returns comments and empty lines that follow each other. */
    static StreamEvent filler(byte[] bytes) {
        return new StreamEvent(NO_ID, false, bytes);
    }
}
