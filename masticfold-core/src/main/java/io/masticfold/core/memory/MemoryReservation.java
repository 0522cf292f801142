package io.masticfold.core.memory;

/** Memory that one holder has reserved, and that is returned as a whole at its end. Not thread-safe. */
public final class MemoryReservation implements AutoCloseable {

    private final MemoryAccount account;
    private final String workspace;
    private long bytes;
    private boolean closed;

    /** Creates an empty reservation of a workspace. */
    public MemoryReservation(MemoryAccount account, String workspace) {
        this.account = account;
        this.workspace = workspace;
    }

    /** Changes the size; returns false, and changes nothing, if it does not fit or the reservation is closed. */
    public boolean resize(long newBytes) {
        if (closed) {
            return false;
        }
        if (newBytes > bytes) {
            if (!account.reserve(workspace, newBytes - bytes)) {
                return false;
            }
        } else {
            account.release(workspace, bytes - newBytes);
        }
        bytes = newBytes;
        return true;
    }

    /** Grows to the size that a body needs; returns false, and changes nothing, if that is not admitted. */
    public boolean admit(long newBytes) {
        if (closed || (newBytes > bytes && !account.admit(workspace, newBytes - bytes))) {
            return false;
        }
        bytes = Math.max(bytes, newBytes);
        return true;
    }

    /** Returns the reserved size. */
    public long bytes() {
        return bytes;
    }

    /** Returns the workspace that holds the memory. */
    public String workspace() {
        return workspace;
    }

    /** Returns the memory. Later calls have no effect. */
    @Override
    public void close() {
        if (!closed) {
            closed = true;
            account.release(workspace, bytes);
            bytes = 0;
        }
    }
}
