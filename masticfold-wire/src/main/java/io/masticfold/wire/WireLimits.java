package io.masticfold.wire;

import java.time.Duration;

/** Holds the limits of the transport. */
public final class WireLimits {

    /** Largest frame after the handshake, in bytes. */
    public static final int MAX_FRAME_BYTES = 2 * 1024 * 1024;

    /** Largest frame before the handshake is complete, in bytes; a hello has about 200. */
    public static final int MAX_HANDSHAKE_FRAME_BYTES = 4 * 1024;

    /** Bytes of a streaming result an agent may send before the entry has consumed any. */
    public static final int STREAM_WINDOW_BYTES = 256 * 1024;

    /** Interval between two heartbeats. */
    public static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(500);

    /** Time without a heartbeat after which a link is not used for new work. */
    public static final Duration USABLE_SILENCE = Duration.ofMillis(1_500);

    /**
     * Time without a heartbeat after which a connection is closed. It is longer than {@link #USABLE_SILENCE} so that a
     * process that paused for a moment can still deliver its results.
     */
    public static final Duration MAX_SILENCE = Duration.ofSeconds(10);

    /** Time in which a handshake must be complete. */
    public static final Duration HANDSHAKE_TIMEOUT = Duration.ofSeconds(2);

    /** Time in which a TCP connection must be established. */
    public static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    /** Largest number of connections of a server that have not proved their identity. */
    public static final int MAX_UNAUTHENTICATED = 64;

    /** Largest number of connections of a server. */
    public static final int MAX_CONNECTIONS = 4_096;

    /** Largest number of open attempts on one link. */
    public static final int MAX_OPEN_ATTEMPTS = 16_384;

    /** Largest whole result of a streaming attempt, in bytes. */
    public static final int MAX_STREAM_RESULT_BYTES = 16 * 1024 * 1024;

    static final int PROTOCOL = 1;
    static final int MAX_NAME_CHARS = 128;
    static final int NONCE_BYTES = 32;
    static final int MAX_CHUNK_BYTES = 64 * 1024;

    /** Room a frame keeps for the fields beside the body or result. */
    static final int FRAME_OVERHEAD_BYTES = 16 * 1024;

    /** Size at which a configuration delta is split; one object of at most 1 MB may exceed it alone. */
    static final int DELTA_FRAME_BYTES = 1024 * 1024 - FRAME_OVERHEAD_BYTES;

    static final int LOW_WATER_BYTES = 1024 * 1024;
    static final int HIGH_WATER_BYTES = 4 * 1024 * 1024;

    private WireLimits() {}
}
