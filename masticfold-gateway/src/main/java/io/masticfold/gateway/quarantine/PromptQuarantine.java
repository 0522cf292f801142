package io.masticfold.gateway.quarantine;

import io.masticfold.core.directory.TargetRecord;
import io.masticfold.core.quarantine.PoisonDetector;
import io.masticfold.core.quarantine.TargetEnd;
import io.masticfold.core.telemetry.Telemetry;
import io.masticfold.core.time.Scheduler;
import io.masticfold.gateway.log.GatewayEvent;
import io.masticfold.gateway.log.RateLimitedLog;
import io.masticfold.gateway.peer.PeerCaller;
import io.masticfold.gateway.peer.PeerLinks;
import io.masticfold.gateway.peer.proto.PeerFrame;
import io.masticfold.gateway.peer.proto.PoisonEvidence;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * Knows the prompt parts that crash targets, from what this gateway and its peers see and from the store. Not
 * thread-safe.
 */
public final class PromptQuarantine {

    /** Largest number of parts of one request that are accused when a target ends. */
    private static final int MAX_ACCUSED_PARTS = 64;

    /** Ids of prompt parts, which also name objects of the store. */
    private static final Pattern PART_ID = Pattern.compile("[0-9A-Fa-f]{1,64}");

    /** Largest number of parts that a new peer is told to be sound. */
    private static final int MAX_KNOWN_SOUND = 256;

    private final Scheduler scheduler;
    private final RateLimitedLog log;
    private final Telemetry telemetry;
    private final PoisonDetector detector;
    private final List<Consumer<String>> listeners = new ArrayList<>();
    private @Nullable PeerLinks links;
    private @Nullable QuarantineStore store;

    /** Creates a quarantine without parts. */
    public PromptQuarantine(Scheduler scheduler, RateLimitedLog log, Telemetry telemetry) {
        this.scheduler = scheduler;
        this.log = log;
        this.telemetry = telemetry;
        this.detector = new PoisonDetector(scheduler);
    }

    /** Starts to share what is known with peers and the store. */
    public void start(PeerLinks peerLinks, QuarantineStore quarantineStore) {
        links = peerLinks;
        store = quarantineStore;
        quarantineStore.start(this);
    }

    /** Adds a listener that is told of each part that is quarantined from now on. */
    public void addListener(Consumer<String> listener) {
        listeners.add(listener);
    }

    /** Returns the first quarantined part among those of a prompt. */
    public Optional<String> find(Collection<String> parts) {
        return detector.quarantined(parts);
    }

    /** Returns the quarantined parts. */
    public Set<String> parts() {
        return detector.quarantined();
    }

    /** Returns whether a request that was broken off may be tried at another target. */
    public boolean allowsAnotherTarget(Collection<String> parts) {
        return !detector.suspected(parts);
    }

    /**
     * Records that a target closed its connection while it began the answer to a request.
     *
     * @param parts ids of the shared parts of the request's prompt
     */
    public void recordBrokenOff(TargetRecord target, List<String> parts) {
        Set<String> accused = parts.stream()
                .filter(part -> PART_ID.matcher(part).matches())
                .limit(MAX_ACCUSED_PARTS)
                .collect(Collectors.toSet());
        if (accused.isEmpty()) {
            return;
        }
        TargetEnd end = new TargetEnd(target.incarnation(), scheduler.nanoTime(), accused);
        Set<String> quarantined = detector.recordEnd(end);
        logAccused(end, "");
        broadcast(EvidenceCodec.encode(scheduler, List.of(end)).addAllQuarantined(quarantined));
        for (String part : quarantined) {
            quarantined(part, "ends of targets");
            if (store != null) {
                store.add(part);
            }
        }
    }

    /** Records that the answer to a request goes on after it has begun. */
    public void recordBegun(List<String> parts) {
        Set<String> released = detector.recordCleared(parts);
        if (!released.isEmpty()) {
            released(released, "an answer has begun");
            broadcast(PoisonEvidence.newBuilder().addAllCleared(released));
        }
    }

    /** Merges what a peer has learnt. */
    public void handle(String peer, PoisonEvidence evidence) {
        detector.recordKnownSound(evidence.getKnownSoundList());
        for (TargetEnd end : EvidenceCodec.decode(scheduler, evidence)) {
            Set<String> quarantined = detector.recordEnd(end);
            logAccused(end, peer);
            quarantined.forEach(part -> quarantined(part, "ends of targets"));
        }
        evidence.getQuarantinedList().forEach(part -> adopt(part, peer));
        Set<String> released = detector.recordCleared(evidence.getClearedList());
        if (!released.isEmpty()) {
            released(released, "an answer has begun at " + peer);
        }
    }

    /** Tells a new peer everything that is known. */
    public void greet(PeerCaller caller) {
        PoisonEvidence.Builder all = EvidenceCodec.encode(scheduler, detector.evidence())
                .addAllQuarantined(detector.quarantined())
                .addAllKnownSound(detector.cleared(MAX_KNOWN_SOUND));
        if (!all.build().equals(PoisonEvidence.getDefaultInstance())) {
            caller.send(PeerFrame.newBuilder().setPoisonEvidence(all).build());
        }
    }

    /** Quarantines a part that a peer or the store knows. */
    void adopt(String part, String source) {
        if (detector.adoptQuarantine(part)) {
            quarantined(part, source);
        }
    }

    /** Ends the quarantine of a part that an operator has removed from the store. */
    void removeByOperator(String part) {
        if (detector.release(part)) {
            released(Set.of(part), "an operator has removed it from the store");
        }
    }

    private void logAccused(TargetEnd end, String peer) {
        for (String part : end.parts()) {
            int ends = detector.ends(part);
            if (ends > 0) {
                telemetry.count("prompt_part_accused");
                log.important(GatewayEvent.PROMPT_PART_ACCUSED)
                        .addKeyValue("part", part)
                        .addKeyValue("target", end.target())
                        .addKeyValue("ends", ends)
                        .addKeyValue("peer", peer)
                        .log();
            }
        }
    }

    private void quarantined(String part, String source) {
        telemetry.count("prompt_part_quarantined");
        log.important(GatewayEvent.PROMPT_PART_QUARANTINED)
                .addKeyValue("part", part)
                .addKeyValue("source", source)
                .log();
        listeners.forEach(listener -> listener.accept(part));
    }

    private void released(Set<String> parts, String reason) {
        for (String part : parts) {
            telemetry.count("prompt_part_cleared");
            log.important(GatewayEvent.PROMPT_PART_CLEARED)
                    .addKeyValue("part", part)
                    .addKeyValue("reason", reason)
                    .log();
            if (store != null) {
                store.remove(part);
            }
        }
    }

    private void broadcast(PoisonEvidence.Builder evidence) {
        if (links != null) {
            links.broadcast(PeerFrame.newBuilder().setPoisonEvidence(evidence).build());
        }
    }
}
