package io.masticfold.gateway.store;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.protobuf.ByteString;
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
import io.masticfold.gateway.protocol.StoreObject;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Exchanges store objects with peers while the store is unreachable. Objects from peers carry their store revision, so
 * the newest state wins regardless of its source.
 */
public final class PeerStateExchange {

    /** Interval of requests to peers while the store is unreachable. */
    private static final Duration REQUEST_INTERVAL = Duration.ofMillis(300);

    private static final ObjectMapper JSON = new ObjectMapper();

    private final PlatformWatcher watch;
    private final Scheduler scheduler;
    private final RateLimitedLog log;
    private int requestsSent;

    /** Creates an exchange. No peer is asked before {@link #start}. */
    public PeerStateExchange(PlatformWatcher watch, Scheduler scheduler, RateLimitedLog log) {
        this.watch = watch;
        this.scheduler = scheduler;
        this.log = log;
    }

    /** Starts the periodic check that requests state from a peer while the store is unreachable. */
    public void start(PeerLinks links) {
        scheduler.schedule(REQUEST_INTERVAL, () -> {
            requestIfNeeded(links);
            start(links);
        });
    }

    private void requestIfNeeded(PeerLinks links) {
        boolean storeUnavailable =
                watch.watchers().stream().anyMatch(watcher -> watcher.failing() || watcher.knownRevision() == 0);
        List<String> peers = links.connected();
        if (!storeUnavailable || peers.isEmpty()) {
            return;
        }
        KnowledgeRequest.Builder request = KnowledgeRequest.newBuilder();
        for (KindWatcher watcher : watch.watchers()) {
            request.addRevisions(
                    KnownRevision.newBuilder().setKind(watcher.kind().ordinal()).setRevision(watcher.knownRevision()));
        }
        // Round robin, since some peers may not reach the store either.
        links.send(
                peers.get(requestsSent++ % peers.size()),
                PeerFrame.newBuilder().setKnowledgeRequest(request).build());
    }

    /** Responds to a peer with the kinds for which this gateway has a newer revision. */
    public void handleRequest(PeerCaller caller, KnowledgeRequest request) {
        Map<Integer, Long> peerRevisions = new HashMap<>();
        request.getRevisionsList().forEach(known -> peerRevisions.put(known.getKind(), known.getRevision()));
        Knowledge.Builder knowledge = Knowledge.newBuilder();
        for (KindWatcher watcher : watch.watchers()) {
            int kind = watcher.kind().ordinal();
            if (watcher.knownRevision() > peerRevisions.getOrDefault(kind, Long.MAX_VALUE)) {
                knowledge.addKinds(encode(watcher));
            }
        }
        if (knowledge.getKindsCount() > 0) {
            caller.send(PeerFrame.newBuilder().setKnowledge(knowledge).build());
        }
    }

    private static KnownKind encode(KindWatcher watcher) {
        KnownKind.Builder kind =
                KnownKind.newBuilder().setKind(watcher.kind().ordinal()).setRevision(watcher.knownRevision());
        for (StoreObject object : watcher.objects()) {
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
        long before = watcher.knownRevision();
        try {
            List<StoreObject> objects = new ArrayList<>();
            for (KnownObject object : known.getObjectsList()) {
                objects.add(new StoreObject(
                        object.getName(),
                        object.getRevision(),
                        JSON.readTree(object.getContent().toByteArray()),
                        false));
            }
            if (watcher.replaceIfNewer(objects, known.getRevision())) {
                log.important(GatewayEvent.PEER_STATE_ADOPTED)
                        .addKeyValue("peer", peer)
                        .addKeyValue("kind", watcher.kind())
                        .addKeyValue("fromRevision", before)
                        .addKeyValue("toRevision", known.getRevision())
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
