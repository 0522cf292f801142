package io.masticfold.agent;

/** States what the events of a streamed answer say about the stream. */
enum SseState {
    /** More events may follow. */
    OPEN,
    /** The end mark has arrived; the result is whole. */
    ENDED,
    /** The target has reported a failure. */
    FAILED,
    /** The stream breaks the format or a limit. */
    MALFORMED;

    boolean open() {
        return this == OPEN;
    }
}
