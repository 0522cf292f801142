package io.masticfold.gateway.stage;

import io.masticfold.core.forward.StagePoolSpec;
import io.masticfold.core.retry.RetryBudget;
import io.masticfold.core.stage.StageRouting;
import io.masticfold.core.stage.StageServerView;
import io.masticfold.gateway.context.GatewayContext;
import io.masticfold.gateway.peer.PeerCaller;
import io.masticfold.gateway.peer.PeerLinks;
import io.masticfold.gateway.peer.proto.PeerFrame;
import io.masticfold.gateway.peer.proto.PeerStatus;
import io.masticfold.gateway.peer.proto.PieceReply;
import io.masticfold.gateway.protocol.PieceOutcome;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/** Assigns the pieces of this gateway's requests to stage servers and sends them to the owners. Not thread-safe. */
public final class StagePools implements PieceReceiver {

    private static final double NANOS_PER_MILLI = 1e6;

    private final GatewayContext context;
    private final StageRepeats repeats;
    private final StageOwner owner;
    private final StageServers servers;
    private final Map<Long, StageOrder> orders = new HashMap<>();
    private @Nullable PeerLinks peers;
    private long lastOrder;
    private boolean draining;

    /**
     * Creates a dispatcher.
     *
     * @param newBudget creates the retry budget of a pool
     */
    public StagePools(GatewayContext context, Function<String, RetryBudget> newBudget) {
        this.context = context;
        this.repeats = new StageRepeats(context, newBudget);
        this.owner = new StageOwner(context);
        this.servers = new StageServers(context, owner);
    }

    /** Sets the connections to the peers and starts the periodic broadcast of this gateway's status. */
    public void start(PeerLinks links) {
        peers = links;
        servers.start(links);
        tellStatus();
    }

    private void tellStatus() {
        PeerLinks links = peers;
        if (links != null) {
            links.broadcast(status());
        }
        context.scheduler().schedule(PeerLinks.STATUS_INTERVAL, this::tellStatus);
    }

    private PeerFrame status() {
        PeerStatus.Builder status = owner.status().setDraining(draining);
        servers.commitments().tell(status);
        return PeerFrame.newBuilder().setStatus(status).build();
    }

    /** Hands the stage servers over to the peers because this gateway is stopping. */
    public void drain() {
        draining = true;
        servers.drain();
        PeerLinks links = peers;
        if (links != null) {
            links.broadcast(status());
        }
    }

    /**
     * Submits the pieces of one stage of a request.
     *
     * @param inputBytes size of the inputs of each piece, in bytes, by availability zone
     * @param readerZone availability zone in which the results are expected to be read; null if unknown
     */
    void submit(String pool, List<PendingPiece> pieces, Map<String, Long> inputBytes, @Nullable String readerZone) {
        repeats.began(pool, pieces.size());
        place(
                pool,
                pieces.stream()
                        .map(piece -> new StageOrder(pool, piece, inputBytes, readerZone))
                        .toList());
    }

    private void place(String pool, List<StageOrder> group) {
        Optional<StagePoolSpec> spec = servers.spec(pool);
        if (spec.isEmpty()) {
            failLater(group);
            return;
        }
        int together =
                StageRouting.piecesTogether(spec.get(), group.get(0).piece.bytes());
        for (int from = 0; from < group.size(); from += together) {
            send(pool, spec.get(), group.subList(from, Math.min(group.size(), from + together)));
        }
    }

    private void send(String pool, StagePoolSpec spec, List<StageOrder> group) {
        long bytes = group.stream().mapToLong(order -> order.piece.bytes()).sum();
        List<StageServerView> views = context.view().directory().usable(pool).stream()
                .map(target -> servers.view(target, spec, onTime(group.get(0))))
                .toList();
        Optional<StageServerView> choice =
                StageRouting.choose(views, bytes, zoneBytes(group, bytes), spareMillis(group.get(0)));
        if (choice.isEmpty()) {
            failLater(group);
            return;
        }
        String server = choice.get().id();
        String ownerName = servers.owner(server);
        boolean local = ownerName.equals(context.settings().node());
        servers.notes(server)
                .sent(
                        group.size() * spec.pieceMillis(),
                        bytes,
                        context.scheduler().nanoTime());
        for (StageOrder order : group) {
            order.number = ++lastOrder;
            order.server = server;
            order.zone = choice.get().zone();
            order.owner = local ? "" : ownerName;
            order.sends++;
            order.placedNanos = context.scheduler().nanoTime();
            orders.put(order.number, order);
        }
        if (local) {
            group.forEach(order -> owner.add(pool, server, order.piece.queued(order.number, this)));
        } else {
            toPeer(ownerName, StageMessages.order(context.scheduler(), pool, server, group));
        }
    }

    private static Map<String, Long> zoneBytes(List<StageOrder> group, long resultBytes) {
        StageOrder any = group.get(0);
        Map<String, Long> bytes = new HashMap<>();
        any.inputBytes.forEach((zone, size) -> bytes.put(zone, size * group.size()));
        if (any.readerZone != null) {
            bytes.merge(any.readerZone, resultBytes, Long::sum);
        }
        return bytes;
    }

    private boolean onTime(StageOrder order) {
        return order.piece.dueNanos() - context.scheduler().nanoTime() >= 0;
    }

    private double spareMillis(StageOrder order) {
        long left = order.piece.dueNanos() - context.scheduler().nanoTime();
        return (left - servers.usualTime(order.pool).toNanos()) / NANOS_PER_MILLI;
    }

    private void toPeer(String peer, PeerFrame frame) {
        PeerLinks links = peers;
        if (links != null) {
            links.send(peer, frame);
        }
    }

    long nanoTime() {
        return context.scheduler().nanoTime();
    }

    /** Returns the stage servers. */
    StageServers servers() {
        return servers;
    }

    /** Cancels pieces that are no longer needed. */
    void cancel(List<PendingPiece> pieces) {
        List<StageOrder> cancelled = orders.values().stream()
                .filter(order -> pieces.contains(order.piece))
                .toList();
        for (StageOrder order : cancelled) {
            // A piece that is already in a call still completes; its result is released then.
            order.cancelled = true;
            if (order.owner.isEmpty()) {
                owner.cancel(order.server, this, order.number);
            } else {
                toPeer(order.owner, StageMessages.cancel(order));
            }
        }
    }

    /** Releases results that are no longer needed. */
    void release(List<StageResult> results) {
        release(results, false);
    }

    /** Marks results that have been read and are needed again only if a reader fails. */
    void releaseUnlessNeeded(List<StageResult> results) {
        release(results, true);
    }

    private void release(List<StageResult> results, boolean needed) {
        Map<String, List<StageResult>> byServer = results.stream().collect(Collectors.groupingBy(StageResult::server));
        byServer.forEach((server, group) -> {
            List<String> handles = group.stream().map(StageResult::handle).toList();
            String pool = group.get(0).pool();
            String ownerName = servers.owner(server);
            if (ownerName.equals(context.settings().node())) {
                owner.release(pool, server, handles, needed);
            } else {
                toPeer(ownerName, StageMessages.release(pool, server, handles, needed));
            }
        });
    }

    @Override
    public void inputsRead(long number) {
        StageOrder order = orders.get(number);
        if (order != null && !order.cancelled) {
            order.piece.listener().inputsRead();
        }
    }

    @Override
    public void outcome(long number, PieceOutcome outcome) {
        StageOrder order = orders.remove(number);
        if (order == null) {
            return;
        }
        if (outcome.kind() == PieceOutcome.Kind.MADE) {
            StageResult result = new StageResult(outcome.handle(), order.pool, order.server, order.zone);
            if (order.cancelled) {
                release(List.of(result));
            } else {
                servers.times(order.pool).made(context.scheduler().nanoTime() - order.placedNanos);
                order.piece.listener().made(result);
            }
            return;
        }
        if (order.cancelled) {
            return;
        }
        repeats.failed(order, outcome.kind());
        switch (outcome.kind()) {
            case FAILED -> again(order, repeats.again(order));
            case GIVEN_BACK -> {
                servers.avoid(order.server);
                again(order, repeats.again(order));
            }
            case NOT_SENT -> {
                servers.avoid(order.server);
                again(order, repeats.move(order));
            }
            default -> order.piece.listener().failed(outcome.kind());
        }
    }

    private void again(StageOrder order, boolean allowed) {
        if (allowed) {
            place(order.pool, List.of(order));
        } else {
            order.piece.listener().failed(PieceOutcome.Kind.FAILED);
        }
    }

    private void failLater(List<StageOrder> group) {
        context.scheduler()
                .schedule(
                        Duration.ZERO,
                        () -> group.forEach(order -> order.piece.listener().failed(PieceOutcome.Kind.FAILED)));
    }

    /** Handles a frame received on a connection that this gateway opened. */
    public void answered(String peer, PeerFrame frame) {
        if (frame.hasReply()) {
            PieceReply reply = frame.getReply();
            PieceOutcome.Kind[] kinds = PieceOutcome.Kind.values();
            PieceOutcome.Kind kind =
                    reply.getOutcome() < kinds.length ? kinds[reply.getOutcome()] : PieceOutcome.Kind.FAILED;
            outcome(reply.getOrder(), new PieceOutcome(kind, reply.getHandle()));
        } else if (frame.hasInputsRead()) {
            inputsRead(frame.getInputsRead().getOrder());
        } else if (frame.hasStatus()) {
            servers.told(peer, frame.getStatus());
        }
    }

    /** Retries the pieces that were sent to a peer whose connection was lost. */
    public void lost(String peer) {
        servers.lost(peer);
        List<StageOrder> open = orders.values().stream()
                .filter(order -> order.owner.equals(peer))
                .toList();
        for (StageOrder order : new ArrayList<>(open)) {
            orders.remove(order.number);
            if (!order.cancelled) {
                again(order, repeats.again(order));
            }
        }
    }

    /** Handles a request from a peer. */
    public void asked(PeerCaller caller, PeerFrame frame) {
        if (frame.hasOrder()) {
            owner.ordered(caller, frame.getOrder());
        } else if (frame.hasCancel()) {
            owner.cancelled(caller, frame.getCancel());
        } else if (frame.hasRelease()) {
            owner.released(frame.getRelease());
        }
    }

    /** Removes the queued pieces of a disconnected peer. */
    public void callerGone(PeerCaller caller) {
        owner.callerGone(caller);
    }
}
