package io.masticfold.gateway.quarantine;

import io.masticfold.core.quarantine.TargetEnd;
import io.masticfold.core.time.TimeSource;
import io.masticfold.gateway.peer.proto.CrashedTarget;
import io.masticfold.gateway.peer.proto.PoisonEvidence;
import java.time.Duration;
import java.util.List;
import java.util.Set;

/** Converts ends of targets between their form in messages and their form in the detector. */
final class EvidenceCodec {

    private EvidenceCodec() {}

    static PoisonEvidence.Builder encode(TimeSource time, List<TargetEnd> ends) {
        PoisonEvidence.Builder evidence = PoisonEvidence.newBuilder();
        for (TargetEnd end : ends) {
            long ageMillis = Duration.ofNanos(time.nanoTime() - end.nanos()).toMillis();
            evidence.addEnds(CrashedTarget.newBuilder()
                    .setTarget(end.target())
                    .setAgeMillis((int) Math.max(0, ageMillis))
                    .addAllParts(end.suspects()));
        }
        return evidence;
    }

    static List<TargetEnd> decode(TimeSource time, PoisonEvidence evidence) {
        return evidence.getEndsList().stream()
                .filter(end -> !end.getTarget().isEmpty())
                .map(end -> new TargetEnd(
                        end.getTarget(),
                        time.nanoTime() - Duration.ofMillis(end.getAgeMillis()).toNanos(),
                        Set.copyOf(end.getPartsList())))
                .toList();
    }
}
