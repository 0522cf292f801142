package io.masticfold.gateway.http;

/** States whether the request may have been sent when an exchange failed. */
public enum ExchangeFailure {
    /** No connection could be opened; no byte of the request was sent. */
    NOT_SENT,
    /** The server closed or reset the connection after the request was sent, before or within the response. */
    CLOSED,
    /**
     * The server closed a reused connection without a byte of a response, so soon after the send that it may have been
     * idle at that time.
     */
    STALE,
    /** The response was malformed, or the connection failed otherwise, after the request was sent. */
    BROKEN
}
