package io.masticfold.gateway.http;

/** States whether the request may have been sent when an exchange failed. */
public enum ExchangeFailure {
    /** No connection could be opened; no byte of the request was sent. */
    NOT_SENT,
    /** The connection broke or the response was malformed after the request was sent. */
    BROKEN
}
