package io.masticfold.gateway.http;

/** Chooses between a kept connection and a new one. */
public enum ConnectionChoice {
    /** Takes a kept connection if there is one. */
    REUSE,
    /** Always opens a connection, since a kept one may have been closed by the server without notice. */
    FRESH
}
