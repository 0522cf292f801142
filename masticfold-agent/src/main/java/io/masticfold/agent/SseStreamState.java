package io.masticfold.agent;

/** State of a stream of server-sent events, as far as it was decoded. */
enum SseStreamState {
    /** More events may follow. */
    OPEN,
    /** The end event has arrived; the result is complete. */
    ENDED,
    /** The target has reported a failure with an error event. */
    FAILED,
    /** The stream exceeds a size limit of the decoder. */
    MALFORMED;

    boolean open() {
        return this == OPEN;
    }
}
