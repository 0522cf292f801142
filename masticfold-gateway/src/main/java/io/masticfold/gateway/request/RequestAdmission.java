package io.masticfold.gateway.request;

import io.masticfold.core.admission.AdmissionVerdict;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.forward.SendOutcome;
import java.time.Duration;
import java.util.function.Consumer;

/** Admission of one request to its pool. Only its first send is held or rejected. Used by one thread. */
final class RequestAdmission {

    private final TargetAdmission admission;
    private final RoutedRequest routed;
    private Runnable send = () -> {};
    private Consumer<TargetChoice> refuse = _refusal -> {};
    private Duration expectedStart = Duration.ZERO;
    private long waitsSinceNanos;
    private boolean sent;

    RequestAdmission(TargetAdmission admission, RoutedRequest routed) {
        this.admission = admission;
        this.routed = routed;
    }

    RoutedRequest routed() {
        return routed;
    }

    /** Refuses the request if it could not be served after its stages, or else begins these. */
    void beforeStages(Runnable beginStages, Consumer<TargetChoice> refusal) {
        if (!routed.takesUpStream() && admission.preview(this) instanceof AdmissionVerdict.Reject reject) {
            refusal.accept(choice(reject));
        } else {
            beginStages.run();
        }
    }

    /** Sends the request now, or later from the queue, or refuses it. */
    void beforeSend(SendHistory history, Runnable sending, Consumer<TargetChoice> refusal) {
        if (history.sends() > 0 || routed.takesUpStream()) {
            sending.run();
            return;
        }
        send = sending;
        refuse = refusal;
        apply(admission.submit(this));
    }

    /** Carries out a verdict; a request that waits is left to the queue. */
    void apply(AdmissionVerdict verdict) {
        if (verdict instanceof AdmissionVerdict.Reject reject) {
            refuse.accept(choice(reject));
        } else if (verdict instanceof AdmissionVerdict.Send) {
            sent = true;
            expectedStart = admission.expectedStart(this);
            send.run();
        }
    }

    private static TargetChoice choice(AdmissionVerdict.Reject reject) {
        return TargetChoice.none(ErrorKind.OVERLOADED, reject.reason().detail(), reject.retryAfter());
    }

    /** Records the time from a send to its complete answer, without the time for which it waited at the target. */
    void recordAnswer(SendOutcome outcome, Duration took) {
        if (outcome == SendOutcome.ANSWERED) {
            Duration own = took.minus(expectedStart);
            admission.recordAnswer(routed, own.isNegative() ? Duration.ZERO : own);
        }
    }

    /** Leaves the queue, or lets the next waiting request have the place of this one at a target. */
    void end() {
        admission.ended(this, sent);
        sent = false;
    }

    void waitsSince(long nanos) {
        waitsSinceNanos = nanos;
    }

    long waitsSinceNanos() {
        return waitsSinceNanos;
    }
}
