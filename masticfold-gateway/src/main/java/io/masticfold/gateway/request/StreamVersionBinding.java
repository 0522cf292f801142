package io.masticfold.gateway.request;

import io.masticfold.core.directory.TargetRecord;
import io.masticfold.core.forward.RequestKind;
import io.masticfold.core.resume.VersionRequirement;
import io.masticfold.gateway.resume.StreamVersionRegistry;

/**
 * Binds one stream to the software version that began it: the one of its first event, in this request or in the one
 * that the caller resumes. Used by one thread.
 */
final class StreamVersionBinding {

    private final RoutedRequest routed;
    private final StreamVersionRegistry versions;
    private VersionRequirement bound = VersionRequirement.NONE;
    private boolean confirmed;

    StreamVersionBinding(RoutedRequest routed, StreamVersionRegistry versions) {
        this.routed = routed;
        this.versions = versions;
    }

    /** Calls the action once it is known where the stream began, as far as it can be known; mostly at once. */
    void whenOriginKnown(Runnable action) {
        if (routed.takesUpStream() && versions.mustConfirm(routed.metadata().resumedAttempt())) {
            versions.confirm(answered -> {
                confirmed = answered;
                action.run();
            });
        } else {
            action.run();
        }
    }

    /** Returns the version that the next target must have. */
    VersionRequirement requirement() {
        boolean undecided = bound.kind() == VersionRequirement.Kind.NONE;
        return undecided && routed.takesUpStream()
                ? versions.requirement(routed.pool(), routed.metadata().resumedAttempt(), confirmed)
                : bound;
    }

    /** Records that a target has written the first event that is forwarded in this request. */
    void firstEventFrom(TargetRecord target) {
        bound = VersionRequirement.exactly(target.softwareVersion());
        if (routed.route().kind() == RequestKind.RESUMABLE_STREAM) {
            String resumed = routed.metadata().resumedAttempt();
            versions.recordBegun(resumed.isEmpty() ? routed.metadata().attemptId() : resumed, target);
        }
    }
}
