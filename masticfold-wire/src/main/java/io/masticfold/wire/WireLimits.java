package io.masticfold.wire;

import java.time.Duration;

/** Limits and timeouts of the transport. */
public final class WireLimits {

    /** Maximum size of a frame after the handshake. */
    public static final int MAX_FRAME_BYTES = 2 * 1024 * 1024;

    /** Maximum size of a frame during the handshake; a hello has about 200 bytes. */
    public static final int MAX_HANDSHAKE_FRAME_BYTES = 4 * 1024;

    /** Flow-control window: bytes of a streaming result that an agent may send before the entry consumes any. */
    public static final int STREAM_WINDOW_BYTES = 256 * 1024;

    /** Interval between two heartbeats. */
    public static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(500);

    /** Time without a heartbeat after which no new attempts are dispatched over a link. */
    public static final Duration LINK_SUSPECT_TIMEOUT = Duration.ofMillis(1_500);

    /**
     * Time without a heartbeat after which a connection is closed. It is longer than {@link #LINK_SUSPECT_TIMEOUT}, so
     * that a process can still deliver its results after a short pause.
     */
    public static final Duration LINK_CLOSE_TIMEOUT = Duration.ofSeconds(10);

    /** Maximum duration of a handshake. */
    public static final Duration HANDSHAKE_TIMEOUT = Duration.ofSeconds(2);

    /** Maximum time to establish a TCP connection. */
    public static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    /** Maximum number of unauthenticated connections of a server. */
    public static final int MAX_UNAUTHENTICATED_CONNECTIONS = 64;

    /** Maximum number of connections of a server. */
    public static final int MAX_CONNECTIONS = 4_096;

    /** Maximum number of open attempts on one link. */
    public static final int MAX_OPEN_ATTEMPTS = 16_384;

    /** Maximum size of the whole result of a streaming attempt. */
    public static final int MAX_STREAM_RESULT_BYTES = 16 * 1024 * 1024;

    static final int PROTOCOL_VERSION = 1;
    static final int MAX_NAME_CHARS = 128;
    static final int NONCE_BYTES = 32;
    static final int MAX_CHUNK_BYTES = 64 * 1024;

    /** Space reserved in a frame for the fields other than the body or result. */
    static final int FRAME_OVERHEAD_BYTES = 16 * 1024;

    /** Size at which a configuration delta is split; a single object, of at most 1 MB, may exceed it. */
    static final int DELTA_SPLIT_BYTES = 1024 * 1024 - FRAME_OVERHEAD_BYTES;

    static final int WRITE_BUFFER_LOW_WATER_BYTES = 1024 * 1024;
    static final int WRITE_BUFFER_HIGH_WATER_BYTES = 4 * 1024 * 1024;

    private WireLimits() {}
}
