package io.masticfold.gateway.http;

/** States whether a request may reuse an idle connection. */
public enum ConnectionChoice {
    /** Reuses an idle connection if there is one. */
    REUSE,
    /** Always opens a new connection, since the server may have closed an idle one without the client noticing. */
    FRESH
}
