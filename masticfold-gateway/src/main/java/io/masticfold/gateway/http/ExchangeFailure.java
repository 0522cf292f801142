package io.masticfold.gateway.http;

/** States how far an exchange with a server had come when it failed. */
public enum ExchangeFailure {
    /** No connection could be opened; no byte of the request left the process. */
    NOT_SENT,
    /** The connection broke or the response was malformed after the request was sent. */
    BROKEN
}
