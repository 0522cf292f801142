package io.masticfold.gateway.quarantine;

import io.masticfold.core.directory.TargetRecord;
import io.masticfold.core.quarantine.LeastRecentlyUsedMap;
import io.masticfold.core.quarantine.PoisonDetector;
import io.masticfold.core.quarantine.QuarantineChange;
import io.masticfold.core.quarantine.SuspectKind;
import io.masticfold.core.quarantine.TargetEnd;
import io.masticfold.core.telemetry.Telemetry;
import io.masticfold.core.time.Scheduler;
import io.masticfold.gateway.log.RateLimitedLog;
import io.masticfold.gateway.peer.PeerCaller;
import io.masticfold.gateway.peer.PeerLinks;
import io.masticfold.gateway.peer.proto.PeerFrame;
import io.masticfold.gateway.peer.proto.PoisonEvidence;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * Knows the requests and prompt parts that crash targets, from what this gateway and its peers see and from the store.
 * Not thread-safe.
 */
public final class PoisonQuarantine {

    /** Largest number of suspects of one request that are accused when a target ends. */
    private static final int MAX_ACCUSED = 64;

    /** Ids of prompt parts, which also name objects of the store. */
    private static final Pattern PART_ID = Pattern.compile("[0-9A-Fa-f]{1,64}");

    /** Largest number of parts that a new peer is told to be sound. */
    private static final int MAX_KNOWN_SOUND = 256;

    /** Largest number of accused suspects whose clearance is passed on. */
    private static final int MAX_ACCUSED_HERE = 1024;

    private final Scheduler scheduler;
    private final RateLimitedLog log;
    private final Telemetry telemetry;
    private final PoisonDetector detector;
    private final List<Runnable> listeners = new ArrayList<>();

    /** Suspects that were accused by ends that this gateway has seen, and of which no peer has known an answer yet. */
    private final Map<String, Boolean> accusedHere = new LeastRecentlyUsedMap<>(MAX_ACCUSED_HERE);

    private @Nullable PeerLinks links;
    private @Nullable QuarantineStore store;

    /** Creates an empty quarantine. */
    public PoisonQuarantine(Scheduler scheduler, RateLimitedLog log, Telemetry telemetry) {
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

    /** Adds a listener that is told when a suspect or a group of them is quarantined. */
    public void addListener(Runnable listener) {
        listeners.add(listener);
    }

    /** Returns the first quarantined suspect, or group of suspects, that a request holds. */
    public Optional<String> find(Collection<String> suspects) {
        return detector.quarantined(suspects);
    }

    /** Returns the names of the quarantined suspects and groups. */
    public Set<String> quarantined() {
        return detector.quarantined();
    }

    /** Returns the number of quarantined suspects and groups of a kind. */
    public int quarantined(SuspectKind kind) {
        return (int) detector.quarantined().stream()
                .filter(name -> SuspectKind.of(name) == kind)
                .count();
    }

    /** Returns whether a request that was broken off may be tried at another target. */
    public boolean allowsAnotherTarget(Collection<String> suspects) {
        return !detector.suspected(suspects);
    }

    /**
     * Records that a target closed its connection while it began the answer to a request.
     *
     * @param suspects name of the request and ids of the shared parts of its prompt
     */
    public void recordBrokenOff(TargetRecord target, List<String> suspects) {
        Set<String> accused = suspects.stream()
                .filter(name -> SuspectKind.of(name) == SuspectKind.REQUEST
                        || PART_ID.matcher(name).matches())
                .limit(MAX_ACCUSED)
                .collect(Collectors.toSet());
        TargetEnd end = new TargetEnd(target.incarnation(), scheduler.nanoTime(), accused);
        accused.forEach(name -> accusedHere.put(name, true));
        Set<String> quarantined = detector.recordEnd(end);
        logAccused(end, "");
        broadcast(EvidenceCodec.encode(scheduler, List.of(end))
                .addAllQuarantined(quarantined)
                .addAllKnownSound(detector.knownSound(accused)));
        for (String suspect : quarantined) {
            quarantined(suspect, "ends of targets");
            store(suspect);
        }
    }

    private void store(String suspect) {
        if (store != null) {
            store.add(suspect);
        }
    }

    /** Records that an answer with these suspects went on without a crash. */
    public void recordCleared(List<String> suspects) {
        QuarantineChange change = detector.recordCleared(suspects);
        if (!change.isEmpty()) {
            change.narrowed().forEach(this::store);
            apply(change, "answered");
            broadcast(PoisonEvidence.newBuilder().addAllCleared(change.cleared()));
        }
    }

    /** Merges what a peer has learnt, and tells it what this gateway knows in favour of the suspects. */
    public void handle(String peer, PoisonEvidence evidence) {
        learnSound(peer, evidence.getKnownSoundList());
        Set<String> reported = new HashSet<>();
        for (TargetEnd end : EvidenceCodec.decode(scheduler, evidence)) {
            reported.addAll(end.suspects());
            Set<String> quarantined = detector.recordEnd(end);
            logAccused(end, peer);
            quarantined.forEach(suspect -> quarantined(suspect, "ends of targets"));
        }
        for (String suspect : evidence.getQuarantinedList()) {
            reported.addAll(PoisonDetector.members(suspect));
            adopt(suspect, peer);
        }
        apply(detector.recordCleared(evidence.getClearedList()), "answered at " + peer);
        Set<String> sound = new HashSet<>(detector.knownSound(reported));
        sound.removeAll(evidence.getKnownSoundList());
        if (!sound.isEmpty() && links != null) {
            links.send(
                    peer,
                    PeerFrame.newBuilder()
                            .setPoisonEvidence(PoisonEvidence.newBuilder().addAllKnownSound(sound))
                            .build());
        }
    }

    /** Records suspects that are sound; of those that this gateway has accused, it tells all peers. */
    private void learnSound(String peer, List<String> sound) {
        List<String> news = sound.stream()
                .filter(name -> accusedHere.remove(name) != null
                        && detector.knownSound(Set.of(name)).isEmpty())
                .toList();
        QuarantineChange change = detector.recordKnownSound(sound);
        apply(change, "answered earlier at " + peer);
        if (!news.isEmpty()) {
            change.narrowed().forEach(this::store);
            broadcast(PoisonEvidence.newBuilder().addAllKnownSound(news));
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

    /** Quarantines a suspect or a group that a peer or the store knows. */
    void adopt(String suspect, String source) {
        detector.adoptQuarantine(suspect).ifPresent(adopted -> quarantined(adopted, source));
    }

    /** Returns whether each request that a suspect or a group refuses is refused for another one. */
    boolean covered(String suspect) {
        return detector.covered(suspect);
    }

    /** Ends the quarantine of a suspect or a group that an operator has removed from the store. */
    void removeByOperator(String suspect) {
        if (detector.release(suspect)) {
            released(suspect, "an operator has removed it from the store");
        }
    }

    private void logAccused(TargetEnd end, String peer) {
        for (String suspect : end.suspects()) {
            int ends = detector.ends(suspect);
            if (ends > 0) {
                SuspectEvents events = SuspectEvents.of(suspect);
                telemetry.count(events.accusedCounter());
                log.important(events.accused())
                        .addKeyValue("suspect", suspect)
                        .addKeyValue("target", end.target())
                        .addKeyValue("ends", ends)
                        .addKeyValue("peer", peer)
                        .log();
            }
        }
    }

    private void quarantined(String suspect, String source) {
        SuspectEvents events = SuspectEvents.of(suspect);
        telemetry.count(events.quarantinedCounter());
        log.important(events.quarantined())
                .addKeyValue("suspect", suspect)
                .addKeyValue("source", source)
                .log();
        listeners.forEach(Runnable::run);
    }

    private void apply(QuarantineChange change, String reason) {
        change.narrowed().forEach(group -> quarantined(group, "other members: " + reason));
        Set<String> names = new HashSet<>(change.cleared());
        names.addAll(change.released());
        names.forEach(name -> released(name, reason));
    }

    private void released(String suspect, String reason) {
        SuspectEvents events = SuspectEvents.of(suspect);
        telemetry.count(events.clearedCounter());
        log.important(events.cleared())
                .addKeyValue("suspect", suspect)
                .addKeyValue("reason", reason)
                .log();
        if (store != null) {
            store.remove(suspect);
        }
    }

    private void broadcast(PoisonEvidence.Builder evidence) {
        if (links != null) {
            links.broadcast(PeerFrame.newBuilder().setPoisonEvidence(evidence).build());
        }
    }
}
