package io.masticfold.gateway.store;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.protobuf.ByteString;
import io.masticfold.core.directory.StorePosition;
import io.masticfold.core.time.Scheduler;
import io.masticfold.gateway.log.GatewayEvent;
import io.masticfold.gateway.log.RateLimitedLog;
import io.masticfold.gateway.peer.PeerCaller;
import io.masticfold.gateway.peer.PeerLinks;
import io.masticfold.gateway.peer.proto.Knowledge;
import io.masticfold.gateway.peer.proto.KnowledgeRequest;
import io.masticfold.gateway.peer.proto.KnownKind;
import io.masticfold.gateway.peer.proto.KnownObject;
import io.masticfold.gateway.peer.proto.KnownRevision;
import io.masticfold.gateway.peer.proto.PeerFrame;
import io.masticfold.gateway.peer.proto.PeerStatus;
import io.masticfold.gateway.protocol.StoreKind;
import io.masticfold.gateway.protocol.StoreObject;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Exchanges store objects with peers while the store is unreachable. Objects from peers carry their store position, so
 * the newest state wins regardless of its source. The configuration is also exchanged while the store is reachable, by
 * its version: a gateway that starts after a restore may read an older version than the one in effect elsewhere.
 */
public final class PeerStateExchange {

    /** Interval of requests to peers while the store is unreachable. */
    private static final Duration REQUEST_INTERVAL = Duration.ofMillis(300);

    private static final ObjectMapper JSON = new ObjectMapper();

    private final PlatformWatcher watch;
    private final Scheduler scheduler;
    private final RateLimitedLog log;
    private @Nullable PeerLinks links;
    private int requestsSent;
    private long configurationRequestNanos;

    /** Creates an exchange. No peer is asked before {@link #start}. */
    public PeerStateExchange(PlatformWatcher watch, Scheduler scheduler, RateLimitedLog log) {
        this.watch = watch;
        this.scheduler = scheduler;
        this.log = log;
        this.configurationRequestNanos = scheduler.nanoTime() - REQUEST_INTERVAL.toNanos();
    }

    /** Starts the periodic check that requests state from a peer while the store is unreachable. */
    public void start(PeerLinks peerLinks) {
        links = peerLinks;
        scheduler.schedule(REQUEST_INTERVAL, this::requestPeriodically);
    }

    private void requestPeriodically() {
        requestIfNeeded();
        scheduler.schedule(REQUEST_INTERVAL, this::requestPeriodically);
    }

    private void requestIfNeeded() {
        PeerLinks peerLinks = links;
        boolean storeUnavailable = watch.watchers().stream()
                .anyMatch(watcher -> watcher.failing() || watcher.known().equals(StorePosition.NONE));
        List<String> peers = peerLinks == null ? List.of() : peerLinks.connected();
        if (!storeUnavailable || peerLinks == null || peers.isEmpty()) {
            return;
        }
        KnowledgeRequest.Builder request = KnowledgeRequest.newBuilder();
        for (KindWatcher watcher : watch.watchers()) {
            request.addRevisions(KnownRevision.newBuilder()
                    .setKind(watcher.kind().ordinal())
                    .setEra(watcher.known().era())
                    .setRevision(watcher.known().revision()));
        }
        // Round robin, since some peers may not reach the store either.
        peerLinks.send(
                peers.get(requestsSent++ % peers.size()),
                PeerFrame.newBuilder().setKnowledgeRequest(request).build());
    }

    /** Requests the configuration of a peer whose version is newer. */
    public void handleStatus(String peer, PeerStatus status) {
        PeerLinks peerLinks = links;
        long now = scheduler.nanoTime();
        boolean requestedRecently = now - configurationRequestNanos < REQUEST_INTERVAL.toNanos();
        if (status.getConfigurationVersion() > watch.configuration().version()
                && !requestedRecently
                && peerLinks != null) {
            configurationRequestNanos = now;
            peerLinks.send(
                    peer,
                    PeerFrame.newBuilder()
                            .setKnowledgeRequest(KnowledgeRequest.newBuilder()
                                    .addRevisions(
                                            KnownRevision.newBuilder().setKind(StoreKind.CONFIGURATION.ordinal())))
                            .build());
        }
    }

    /** Responds to a peer with the kinds for which this gateway has a newer revision. */
    public void handleRequest(PeerCaller caller, KnowledgeRequest request) {
        Map<Integer, StorePosition> peerPositions = new HashMap<>();
        request.getRevisionsList()
                .forEach(known ->
                        peerPositions.put(known.getKind(), new StorePosition(known.getEra(), known.getRevision())));
        Knowledge.Builder knowledge = Knowledge.newBuilder();
        for (KindWatcher watcher : watch.watchers()) {
            int kind = watcher.kind().ordinal();
            StorePosition peerPosition = peerPositions.get(kind);
            if (peerPosition != null && watcher.known().isAfter(peerPosition)) {
                knowledge.addKinds(encode(watcher));
            }
        }
        if (knowledge.getKindsCount() > 0) {
            caller.send(PeerFrame.newBuilder().setKnowledge(knowledge).build());
        }
    }

    private KnownKind encode(KindWatcher watcher) {
        KnownKind.Builder kind = KnownKind.newBuilder()
                .setKind(watcher.kind().ordinal())
                .setEra(watcher.known().era())
                .setRevision(watcher.known().revision());
        boolean configuration = watcher.kind() == StoreKind.CONFIGURATION;
        for (StoreObject object : configuration ? watch.configuration().active() : watcher.objects()) {
            kind.addObjects(KnownObject.newBuilder()
                    .setName(object.name())
                    .setRevision(object.revision())
                    .setContent(ByteString.copyFromUtf8(object.content().toString())));
        }
        return kind.build();
    }

    /** Merges the state received from a peer. */
    public void handleResponse(String peer, Knowledge knowledge) {
        for (KnownKind known : knowledge.getKindsList()) {
            for (KindWatcher watcher : watch.watchers()) {
                if (watcher.kind().ordinal() == known.getKind()) {
                    merge(peer, watcher, known);
                }
            }
        }
    }

    private void merge(String peer, KindWatcher watcher, KnownKind known) {
        StorePosition before = watcher.known();
        StorePosition offered = new StorePosition(known.getEra(), known.getRevision());
        try {
            List<StoreObject> objects = new ArrayList<>();
            for (KnownObject object : known.getObjectsList()) {
                objects.add(new StoreObject(
                        object.getName(),
                        object.getRevision(),
                        JSON.readTree(object.getContent().toByteArray()),
                        false));
            }
            if (watcher.kind() == StoreKind.CONFIGURATION) {
                watch.configuration().offer(objects);
            }
            if (watcher.replaceIfNewer(objects, offered)) {
                log.important(GatewayEvent.PEER_STATE_ADOPTED)
                        .addKeyValue("peer", peer)
                        .addKeyValue("kind", watcher.kind())
                        .addKeyValue("fromEra", before.era())
                        .addKeyValue("fromRevision", before.revision())
                        .addKeyValue("toEra", offered.era())
                        .addKeyValue("toRevision", offered.revision())
                        .log();
            }
        } catch (IOException e) {
            log.important(GatewayEvent.PEER_STATE_REJECTED)
                    .addKeyValue("peer", peer)
                    .addKeyValue("kind", watcher.kind())
                    .addKeyValue("problem", e.getMessage())
                    .log();
        }
    }
}
