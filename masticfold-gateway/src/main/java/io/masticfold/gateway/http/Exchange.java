package io.masticfold.gateway.http;

import java.util.Collection;

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

        @Override
        public boolean recordDelivered(Collection<String> _identities) {
            return true;
        }
    };

    /**
     * Closes the connection; the listener is not called any more. Has no effect once the exchange has ended.
     *
     * @return whether a byte of the request may have left the process
     */
    boolean cancel();

    /** Suspends or resumes reading the response, to apply back-pressure to the server. */
    void setAutoRead(boolean enabled);

    /**
     * Records what identifies the complete response to this exchange, for responses that do not name their request. The
     * connection is closed once it has delivered as many identities as it can remember.
     *
     * @param identities values that no two different responses of a server share
     * @return whether none of them was delivered by an earlier exchange on the same connection; if not, the response is
     *     a copy, and the caller has to {@link #cancel} the exchange
     */
    boolean recordDelivered(Collection<String> identities);
}
