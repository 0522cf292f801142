package io.masticfold.gateway.http;

/** Receives events of the connection to a caller while its request is in progress. */
public interface CallerListener {

    /** Ignores all events. */
    CallerListener NONE = new CallerListener() {
        @Override
        public void disconnected() {}

        @Override
        public void writabilityChanged(boolean _writable) {}
    };

    /** The connection was closed before the response was complete. */
    void disconnected();

    /** The write buffer of the connection became full, or writable again. */
    void writabilityChanged(boolean writable);
}
