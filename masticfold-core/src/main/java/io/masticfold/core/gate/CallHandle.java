package io.masticfold.core.gate;

import org.jspecify.annotations.Nullable;

/**
 * Forwards cancellation and flow-control credit to a call. Whatever arrives before the call has been made is stored and
 * forwarded when the call is attached. Thread-safe.
 */
final class CallHandle {

    @Nullable
    private TargetCall call;

    private boolean cancelled;
    private int pendingBytes;

    /** Sets the call and forwards a stored cancellation and stored credit to it. */
    void attach(TargetCall made) {
        boolean cancel;
        int grant;
        synchronized (this) {
            call = made;
            cancel = cancelled;
            grant = pendingBytes;
        }
        if (grant > 0) {
            made.grant(grant);
        }
        if (cancel) {
            made.cancel();
        }
    }

    void cancel() {
        TargetCall made;
        synchronized (this) {
            if (cancelled) {
                return;
            }
            cancelled = true;
            made = call;
        }
        if (made != null) {
            made.cancel();
        }
    }

    void grant(int bytes) {
        TargetCall made;
        synchronized (this) {
            made = call;
            if (made == null) {
                pendingBytes = (int) Math.min(Integer.MAX_VALUE, (long) pendingBytes + bytes);
            }
        }
        if (made != null) {
            made.grant(bytes);
        }
    }
}
