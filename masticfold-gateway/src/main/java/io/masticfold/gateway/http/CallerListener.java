package io.masticfold.gateway.http;

/** Hears what happens to a caller while its request is in progress. */
public interface CallerListener {

    /** Listens to nothing. */
    CallerListener NONE = new CallerListener() {
        @Override
        public void left() {}

        @Override
        public void writabilityChanged(boolean _writable) {}
    };

    /** The caller closed its connection before the answer was complete. */
    void left();

    /** The caller has fallen behind or caught up with what was written. */
    void writabilityChanged(boolean writable);
}
