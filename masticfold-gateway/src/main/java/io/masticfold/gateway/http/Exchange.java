package io.masticfold.gateway.http;

/** Represents a request to a server whose response is awaited. */
public interface Exchange {

    /** Exchange that has ended. */
    Exchange ENDED = new Exchange() {
        @Override
        public void cancel() {}

        @Override
        public void readResponse(boolean _enabled) {}
    };

    /** Closes the connection; the listener hears nothing more. Has no effect once the exchange has ended. */
    void cancel();

    /** Suspends or resumes reading the response, for a receiver that is slower than the server. */
    void readResponse(boolean enabled);
}
