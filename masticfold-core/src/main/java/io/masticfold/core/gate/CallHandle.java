package io.masticfold.core.gate;

import org.jspecify.annotations.Nullable;

/**
 * Passes cancellations and grants on to a call, also those that arrive before the call has been made. Safe for use by
 * several threads.
 */
final class CallHandle {

    @Nullable
    private TargetCall call;

    private boolean cancelled;
    private int granted;

    /** Takes the call once it has been made. */
    void attach(TargetCall made) {
        boolean cancel;
        int grant;
        synchronized (this) {
            call = made;
            cancel = cancelled;
            grant = granted;
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
                granted = (int) Math.min(Integer.MAX_VALUE, (long) granted + bytes);
            }
        }
        if (made != null) {
            made.grant(bytes);
        }
    }
}
