package io.masticfold.gateway.http;

import io.masticfold.core.memory.MemoryAccount;

/**
 * Limits the memory of all responses that are buffered at the same time. A response has a limit of its own, but
 * hundreds of servers in trouble may send bytes without end at once. Used on one event loop only.
 */
public final class ResponseMemory {

    /** Part of the heap that buffered responses may occupy. */
    private static final int HEAP_DIVISOR = 4;

    private final MemoryAccount account;
    private final long maxBytes;
    private long reservedBytes;

    /**
     * Creates a limit of a quarter of the heap.
     *
     * @param account counts all that the process holds for others
     */
    public ResponseMemory(MemoryAccount account) {
        this(account, Runtime.getRuntime().maxMemory() / HEAP_DIVISOR);
    }

    ResponseMemory(long maxBytes) {
        this(new MemoryAccount(Long.MAX_VALUE), maxBytes);
    }

    private ResponseMemory(MemoryAccount account, long maxBytes) {
        if (maxBytes < 1) {
            throw new IllegalArgumentException("maxBytes must be positive: " + maxBytes);
        }
        this.account = account;
        this.maxBytes = maxBytes;
    }

    /** Reserves memory; returns false, and reserves nothing, if there is not enough. */
    public boolean reserve(long bytes) {
        if (reservedBytes + bytes > maxBytes || !account.reserve(MemoryAccount.GATEWAY, bytes)) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /** Returns memory that was reserved. */
    public void release(long bytes) {
        reservedBytes -= bytes;
        account.release(MemoryAccount.GATEWAY, bytes);
    }

    /** Returns the largest memory that can be reserved, in bytes. */
    public long maxBytes() {
        return maxBytes;
    }

    /** Returns the reserved memory, in bytes. */
    public long reservedBytes() {
        return reservedBytes;
    }
}
