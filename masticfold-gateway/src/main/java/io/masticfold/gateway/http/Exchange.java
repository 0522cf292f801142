package io.masticfold.gateway.http;

/** Represents a request to a server and its pending response. */
public interface Exchange {

    /** An exchange that has already ended. */
    Exchange ENDED = new Exchange() {
        @Override
        public boolean cancel() {
            return true;
        }

        @Override
        public void setAutoRead(boolean _enabled) {}
    };

    /**
     * Closes the connection; the listener is not called any more. Has no effect once the exchange has ended.
     *
     * @return whether a byte of the request may have left the process
     */
    boolean cancel();

    /** Suspends or resumes reading the response, to apply back-pressure to the server. */
    void setAutoRead(boolean enabled);
}
