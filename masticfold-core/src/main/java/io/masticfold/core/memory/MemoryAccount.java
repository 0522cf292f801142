package io.masticfold.core.memory;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts the memory that a process holds for others, by workspace, and decides who may use more of it. What is counted
 * never becomes negative: a surplus release is counted as an error and has no other effect. Not thread-safe.
 *
 * <p>New requests are admitted by a dynamic threshold, as switches share packet buffers: a workspace may hold at most
 * {@link #FREE_MULTIPLE} times what is left. All workspaces have the same threshold, so that the one that holds most is
 * rejected first, and a workspace alone cannot use up what another one needs to begin.
 */
public final class MemoryAccount {

    /** Holder of what belongs to no workspace, such as responses of the store. */
    public static final String GATEWAY = "(gateway)";

    /** A workspace may hold this multiple of what is left: alone two thirds, beside an equal one two fifths each. */
    static final int FREE_MULTIPLE = 2;

    /** New requests use at most three quarters, so that bodies and responses that have begun can be completed. */
    private static final int ADMITTED_QUARTERS = 3;

    private static final int QUARTERS = 4;

    /** Sources are not read on from seven eighths; a turn of the event loop reads less than the last eighth. */
    private static final int CROWDED_EIGHTHS = 7;

    private static final int EIGHTHS = 8;

    /** The other half of the heap is for the gateway itself and for garbage. */
    private static final int HEAP_DIVISOR = 2;

    private final long limitBytes;
    private final Map<String, Long> held = new HashMap<>();
    private long inUseBytes;
    private long errors;
    private boolean shortage;

    /**
     * Creates an empty account.
     *
     * @param limitBytes memory that may be held, in bytes
     */
    public MemoryAccount(long limitBytes) {
        if (limitBytes < 1) {
            throw new IllegalArgumentException("limitBytes must be positive: " + limitBytes);
        }
        this.limitBytes = limitBytes;
    }

    /**
     * Derives the limit of a process. Bodies are on the heap and unsent output is in direct memory; either may make up
     * all that is held, so that the smaller one decides.
     *
     * @param heapBytes largest size of the heap
     * @param directBytes largest size of the direct memory, of which a quarter is left for reads
     */
    public static long limit(long heapBytes, long directBytes) {
        return Math.max(1, Math.min(heapBytes / HEAP_DIVISOR, directBytes / QUARTERS * ADMITTED_QUARTERS));
    }

    /**
     * Reserves memory for the body of a request, or for more of it, if its workspace holds less than its threshold;
     * returns false, and reserves nothing, if it does not.
     */
    public boolean admit(String workspace, long bytes) {
        long left = limitBytes / QUARTERS * ADMITTED_QUARTERS - inUseBytes - bytes;
        if (left < 0) {
            shortage = true;
        }
        return left >= 0 && heldBytes(workspace) + bytes <= FREE_MULTIPLE * left && reserve(workspace, bytes);
    }

    /** Reserves memory for what has been begun; returns false, and reserves nothing, if it does not fit. */
    public boolean reserve(String workspace, long bytes) {
        if (inUseBytes + bytes > limitBytes) {
            shortage = true;
            return false;
        }
        add(workspace, bytes);
        return true;
    }

    /** Counts memory that is held already, even beyond the limit. */
    public void add(String workspace, long bytes) {
        if (bytes < 0) {
            errors++;
        } else if (bytes > 0) {
            held.merge(workspace, bytes, Long::sum);
            inUseBytes += bytes;
        }
    }

    /** Returns memory to the account; at most what the workspace holds. */
    public void release(String workspace, long bytes) {
        long before = heldBytes(workspace);
        if (bytes < 0 || bytes > before) {
            errors++;
        }
        long released = Math.max(0, Math.min(before, bytes));
        inUseBytes -= released;
        if (released == before) {
            held.remove(workspace);
        } else {
            held.put(workspace, before - released);
        }
    }

    /** Returns whether no more input is to be read for the time being. */
    public boolean crowded() {
        return inUseBytes >= limitBytes / EIGHTHS * CROWDED_EIGHTHS;
    }

    /** Returns whether more is held than the limit allows. */
    public boolean exceeded() {
        return inUseBytes > limitBytes;
    }

    /**
     * Returns how much unsent output is to be dropped so that new requests can be admitted; zero unless the account is
     * crowded or something did not fit since {@link #shortageHandled}.
     */
    public long excessBytes() {
        return shortage || crowded() ? Math.max(0, inUseBytes - limitBytes / QUARTERS * ADMITTED_QUARTERS) : 0;
    }

    /** Records that the slowest readers have been shed. */
    public void shortageHandled() {
        shortage = false;
    }

    /** Returns what a workspace holds, in bytes. */
    public long heldBytes(String workspace) {
        return held.getOrDefault(workspace, 0L);
    }

    /** Returns what is held in all, in bytes. */
    public long inUseBytes() {
        return inUseBytes;
    }

    /** Returns the limit, in bytes. */
    public long limitBytes() {
        return limitBytes;
    }

    /** Returns the number of workspaces that hold memory. */
    public int holders() {
        return held.size();
    }

    /** Returns the number of reservations and releases with impossible sizes. */
    public long errors() {
        return errors;
    }
}
