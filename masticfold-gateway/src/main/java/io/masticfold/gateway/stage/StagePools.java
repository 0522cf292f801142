package io.masticfold.gateway.stage;

import io.masticfold.core.directory.TargetRecord;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.forward.StagePoolSpec;
import io.masticfold.core.retry.RetryBudget;
import io.masticfold.core.stage.OwnerSupport;
import io.masticfold.core.stage.StageRouting;
import io.masticfold.core.stage.StageServerView;
import io.masticfold.gateway.context.GatewayContext;
import io.masticfold.gateway.log.GatewayEvent;
import io.masticfold.gateway.peer.PeerCaller;
import io.masticfold.gateway.peer.PeerLinks;
import io.masticfold.gateway.peer.proto.PeerFrame;
import io.masticfold.gateway.peer.proto.Piece;
import io.masticfold.gateway.peer.proto.PieceCancel;
import io.masticfold.gateway.peer.proto.PieceOrder;
import io.masticfold.gateway.peer.proto.PieceReply;
import io.masticfold.gateway.peer.proto.ResultRelease;
import io.masticfold.gateway.peer.proto.ServerBacklog;
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

/** Sends the pieces of this gateway's requests to the gateways that own the stage servers. Used by one thread. */
public final class StagePools implements PieceReceiver {

    /** Most sends of one piece. */
    static final int MAX_SENDS = 4;

    /** Time for which a server that gave a piece back is chosen last. */
    static final Duration FAILING_TIME = Duration.ofMillis(700);

    /** Age after which a peer's status says nothing any more. */
    private static final Duration STATUS_AGE = Duration.ofMillis(1000);

    private static final double NANOS_PER_MILLI = 1e6;

    private final GatewayContext context;
    private final Function<String, RetryBudget> newBudget;
    private final StageOwner owner;
    private final Map<Long, Order> orders = new HashMap<>();
    private final Map<String, StageServerNotes> notes = new HashMap<>();
    private final Map<String, Integer> committed = new HashMap<>();
    private final Map<String, StageTimes> times = new HashMap<>();
    private final Map<String, RetryBudget> budgets = new HashMap<>();
    private @Nullable PeerLinks peers;
    private long lastOrder;
    private boolean draining;

    /**
     * Creates the pools.
     *
     * @param newBudget creates the retry budget of a pool
     */
    public StagePools(GatewayContext context, Function<String, RetryBudget> newBudget) {
        this.context = context;
        this.newBudget = newBudget;
        this.owner = new StageOwner(context);
    }

    /** Sets the connections to the peers and starts to tell them the state of the own queues. */
    public void start(PeerLinks links) {
        peers = links;
        tellStatus();
    }

    private void tellStatus() {
        PeerLinks links = peers;
        if (links != null) {
            links.broadcast(owner.status(draining));
        }
        context.scheduler().schedule(PeerLinks.STATUS_INTERVAL, this::tellStatus);
    }

    /** Gives the stage servers to the other gateways, since this one stops. */
    public void drain() {
        draining = true;
        PeerLinks links = peers;
        if (links != null) {
            links.broadcast(owner.status(true));
        }
    }

    /**
     * Starts the pieces of one stage of a request.
     *
     * @param inputBytes size of what each piece reads, in bytes, by availability zone
     * @param readerZone availability zone in which the results are expected to be read; null if unknown
     */
    void submit(String pool, List<PendingPiece> pieces, Map<String, Long> inputBytes, @Nullable String readerZone) {
        RetryBudget budget = budget(pool);
        pieces.forEach(_piece -> budget.earn());
        place(
                pool,
                pieces.stream()
                        .map(piece -> new Order(pool, piece, inputBytes, readerZone))
                        .toList());
    }

    Optional<StagePoolSpec> spec(String pool) {
        return Optional.ofNullable(context.view().config())
                .flatMap(config -> config.pool(pool))
                .map(found -> found.stage());
    }

    private void place(String pool, List<Order> group) {
        Optional<StagePoolSpec> spec = spec(pool);
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

    private void send(String pool, StagePoolSpec spec, List<Order> group) {
        long bytes = group.stream().mapToLong(order -> order.piece.bytes()).sum();
        List<StageServerView> servers = context.view().directory().usable(pool).stream()
                .map(target -> view(target, spec, onTime(group.get(0))))
                .toList();
        Optional<StageServerView> choice =
                StageRouting.choose(servers, bytes, zoneBytes(group, bytes), spareMillis(group.get(0)));
        if (choice.isEmpty()) {
            failLater(group);
            return;
        }
        String server = choice.get().id();
        String ownerName = owner(server);
        boolean local = ownerName.equals(context.settings().node());
        notes(server)
                .sent(
                        group.size() * spec.pieceMillis(),
                        bytes,
                        context.scheduler().nanoTime());
        for (Order order : group) {
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
            sendOrder(ownerName, pool, server, group);
        }
    }

    private static Map<String, Long> zoneBytes(List<Order> group, long resultBytes) {
        Order any = group.get(0);
        Map<String, Long> bytes = new HashMap<>();
        any.inputBytes.forEach((zone, size) -> bytes.put(zone, size * group.size()));
        if (any.readerZone != null) {
            bytes.merge(any.readerZone, resultBytes, Long::sum);
        }
        return bytes;
    }

    private boolean onTime(Order order) {
        return order.piece.dueNanos() - context.scheduler().nanoTime() >= 0;
    }

    /** Returns the time of a call with a number of pieces, or of several calls if one does not hold them. */
    Duration callTime(String pool, int pieces) {
        return spec(pool)
                .map(spec -> Duration.ofMillis((long) spec.expectedMillis(Math.min(spec.batch(), pieces))))
                .orElse(Duration.ZERO);
    }

    /** Notes pieces that requests which have begun will need of a pool; a negative number takes them back. */
    void commit(String pool, int pieces) {
        committed.merge(pool, pieces, Integer::sum);
    }

    /**
     * Returns the shortest time until a new piece of a pool would start behind what waits there and what is on its way
     * there. Other gateways are taken to have as much on its way as this one.
     *
     * @param onTime whether only requests that are on time count
     */
    Duration backlog(String pool, boolean onTime) {
        Optional<StagePoolSpec> spec = spec(pool);
        List<TargetRecord> servers = context.view().directory().usable(pool);
        if (spec.isEmpty() || servers.isEmpty()) {
            return FAILING_TIME;
        }
        double shortest = servers.stream()
                .map(target -> view(target, spec.get(), onTime))
                .mapToDouble(server -> server.backlogMillis() + (server.failing() ? FAILING_TIME.toMillis() : 0))
                .min()
                .orElseThrow();
        double pieceMillis =
                spec.get().expectedMillis(spec.get().batch()) / spec.get().batch();
        int gateways = context.view().sharingGateways();
        double coming = committed.getOrDefault(pool, 0) * gateways * pieceMillis / servers.size();
        return Duration.ofMillis((long) (shortest + coming));
    }

    private double spareMillis(Order order) {
        long left = order.piece.dueNanos() - context.scheduler().nanoTime();
        return (left - usualTime(order.pool).toNanos()) / NANOS_PER_MILLI;
    }

    private String owner(String server) {
        PeerLinks links = peers;
        List<String> reachable = links == null ? List.of() : links.reachable();
        return draining && !reachable.isEmpty()
                ? OwnerSupport.owner(server, reachable.get(0), reachable)
                : OwnerSupport.owner(server, context.settings().node(), reachable);
    }

    private StageServerView view(TargetRecord target, StagePoolSpec spec, boolean onTime) {
        long now = context.scheduler().nanoTime();
        StageServerNotes known = notes(target.id());
        boolean failing = known.failing(now);
        String ownerName = owner(target.id());
        if (ownerName.equals(context.settings().node())) {
            Optional<StageServerQueue> queue = owner.known(target.id());
            return new StageServerView(
                    target.id(),
                    target.zone(),
                    queue.map(found -> onTime ? found.onTimeBacklogMillis() : found.backlogMillis())
                            .orElse(0.0),
                    queue.map(StageServerQueue::roomBytes).orElseGet(spec::roomBytes),
                    failing);
        }
        return new StageServerView(
                target.id(),
                target.zone(),
                known.backlogMillis(onTime, now, STATUS_AGE),
                known.roomBytes(now, STATUS_AGE, spec.roomBytes()),
                failing);
    }

    private void sendOrder(String peer, String pool, String server, List<Order> group) {
        PieceOrder.Builder frame = PieceOrder.newBuilder().setPool(pool).setServer(server);
        for (Order order : group) {
            PendingPiece piece = order.piece;
            frame.addPieces(Piece.newBuilder()
                    .setOrder(order.number)
                    .setAttempt(piece.attemptId())
                    .setStage(piece.stage())
                    .setPiece(piece.piece())
                    .setLeftMillis((int)
                            piece.deadline().remaining(context.scheduler()).toMillis())
                    .setBytes(piece.bytes())
                    .setRank(piece.rank())
                    .setAgeMillis((int) ((context.scheduler().nanoTime() - piece.startedNanos()) / NANOS_PER_MILLI))
                    .setDueMillis((int) ((piece.dueNanos() - context.scheduler().nanoTime()) / NANOS_PER_MILLI))
                    .setKey(piece.key())
                    .addAllInputs(piece.inputs()));
        }
        toPeer(peer, PeerFrame.newBuilder().setOrder(frame).build());
    }

    private void toPeer(String peer, PeerFrame frame) {
        PeerLinks links = peers;
        if (links != null) {
            links.send(peer, frame);
        }
    }

    /** Cancels pieces that are not needed any more. */
    void cancel(List<PendingPiece> pieces) {
        List<Order> cancelled = orders.values().stream()
                .filter(order -> pieces.contains(order.piece))
                .toList();
        for (Order order : cancelled) {
            // The outcome of a piece that is already in a call still arrives and is released then.
            order.cancelled = true;
            if (order.owner.isEmpty()) {
                owner.cancel(order.server, this, order.number);
            } else {
                toPeer(
                        order.owner,
                        PeerFrame.newBuilder()
                                .setCancel(PieceCancel.newBuilder()
                                        .setServer(order.server)
                                        .addOrders(order.number))
                                .build());
            }
        }
    }

    /** Releases results that are not needed any more. */
    void release(List<StageResult> results) {
        release(results, false);
    }

    /** Tells the owners that results are needed only if their readers fail. */
    void releaseUnlessNeeded(List<StageResult> results) {
        release(results, true);
    }

    private void release(List<StageResult> results, boolean needed) {
        Map<String, List<StageResult>> byServer = results.stream().collect(Collectors.groupingBy(StageResult::server));
        byServer.forEach((server, group) -> {
            List<String> handles = group.stream().map(StageResult::handle).toList();
            String pool = group.get(0).pool();
            String ownerName = owner(server);
            if (ownerName.equals(context.settings().node())) {
                owner.release(pool, server, handles, needed);
            } else {
                toPeer(
                        ownerName,
                        PeerFrame.newBuilder()
                                .setRelease(ResultRelease.newBuilder()
                                        .setPool(pool)
                                        .setServer(server)
                                        .addAllHandles(handles)
                                        .setNeeded(needed))
                                .build());
            }
        });
    }

    @Override
    public void inputsRead(long number) {
        Order order = orders.get(number);
        if (order != null && !order.cancelled) {
            order.piece.listener().inputsRead();
        }
    }

    @Override
    public void outcome(long number, PieceOutcome outcome) {
        Order order = orders.remove(number);
        if (order == null) {
            return;
        }
        if (outcome.kind() == PieceOutcome.Kind.MADE) {
            StageResult result = new StageResult(outcome.handle(), order.pool, order.server, order.zone);
            if (order.cancelled) {
                release(List.of(result));
            } else {
                times(order.pool).made(context.scheduler().nanoTime() - order.placedNanos);
                order.piece.listener().made(result);
            }
            return;
        }
        if (order.cancelled) {
            return;
        }
        logFailure(order, outcome.kind());
        if (outcome.kind() == PieceOutcome.Kind.GIVEN_BACK) {
            notes(order.server).failed(context.scheduler().nanoTime() + FAILING_TIME.toNanos());
        }
        if (outcome.kind() == PieceOutcome.Kind.FAILED || outcome.kind() == PieceOutcome.Kind.GIVEN_BACK) {
            again(order);
        } else {
            order.piece.listener().failed(outcome.kind());
        }
    }

    private void logFailure(Order order, PieceOutcome.Kind kind) {
        context.log()
                .failure(GatewayEvent.STAGE_PIECE_FAILED)
                .addKeyValue("request", order.piece.attemptId())
                .addKeyValue("pool", order.pool)
                .addKeyValue("target", order.server)
                .addKeyValue("stage", order.piece.stage())
                .addKeyValue("piece", order.piece.piece())
                .addKeyValue("outcome", kind)
                .addKeyValue("send", order.sends)
                .addKeyValue("ageMillis", (long)
                        ((context.scheduler().nanoTime() - order.piece.startedNanos()) / NANOS_PER_MILLI))
                .log();
    }

    private void again(Order order) {
        boolean inTime = !order.piece.deadline().expired(context.scheduler());
        if (inTime && order.sends < MAX_SENDS && budget(order.pool).spend()) {
            context.telemetry().retried(ErrorKind.TARGET_FAILED);
            place(order.pool, List.of(order));
        } else {
            order.piece.listener().failed(PieceOutcome.Kind.FAILED);
        }
    }

    private void failLater(List<Order> group) {
        context.scheduler()
                .schedule(
                        Duration.ZERO,
                        () -> group.forEach(order -> order.piece.listener().failed(PieceOutcome.Kind.FAILED)));
    }

    /** Returns the time that a piece of a pool took of late, from its request to its result. */
    Duration usualTime(String pool) {
        return times(pool).usual();
    }

    private StageTimes times(String pool) {
        return times.computeIfAbsent(pool, _pool -> new StageTimes());
    }

    private RetryBudget budget(String pool) {
        return budgets.computeIfAbsent(pool, newBudget);
    }

    private StageServerNotes notes(String server) {
        return notes.computeIfAbsent(server, _server -> new StageServerNotes());
    }

    /** Takes a frame of a peer that this gateway asked. */
    public void answered(PeerFrame frame) {
        if (frame.hasReply()) {
            PieceReply reply = frame.getReply();
            PieceOutcome.Kind[] kinds = PieceOutcome.Kind.values();
            PieceOutcome.Kind kind =
                    reply.getOutcome() < kinds.length ? kinds[reply.getOutcome()] : PieceOutcome.Kind.FAILED;
            outcome(reply.getOrder(), new PieceOutcome(kind, reply.getHandle()));
        } else if (frame.hasInputsRead()) {
            inputsRead(frame.getInputsRead().getOrder());
        } else if (frame.hasStatus()) {
            long now = context.scheduler().nanoTime();
            for (ServerBacklog server : frame.getStatus().getServersList()) {
                notes(server.getServer())
                        .told(server.getBacklogMillis(), server.getOnTimeBacklogMillis(), server.getRoomBytes(), now);
            }
            notes.keySet()
                    .removeIf(server -> context.view().directory().find(server).isEmpty());
        }
    }

    /** Sends the pieces that a lost peer was to make to others. */
    public void lost(String peer) {
        List<Order> open = orders.values().stream()
                .filter(order -> order.owner.equals(peer))
                .toList();
        for (Order order : new ArrayList<>(open)) {
            orders.remove(order.number);
            if (!order.cancelled) {
                again(order);
            }
        }
    }

    /** Takes a frame of a peer that asks this gateway. */
    public void asked(PeerCaller caller, PeerFrame frame) {
        if (frame.hasOrder()) {
            owner.ordered(caller, frame.getOrder());
        } else if (frame.hasCancel()) {
            owner.cancelled(caller, frame.getCancel());
        } else if (frame.hasRelease()) {
            owner.released(frame.getRelease());
        }
    }

    /** Drops what a peer that is gone has ordered. */
    public void callerGone(PeerCaller caller) {
        owner.callerGone(caller);
    }

    /** Holds a piece on its way through one send after the other. */
    private static final class Order {

        private final String pool;
        private final PendingPiece piece;
        private final Map<String, Long> inputBytes;
        private final @Nullable String readerZone;
        private long number;
        private String server = "";
        private String zone = "";
        private String owner = "";
        private int sends;
        private long placedNanos;
        private boolean cancelled;

        Order(String pool, PendingPiece piece, Map<String, Long> inputBytes, @Nullable String readerZone) {
            this.pool = pool;
            this.piece = piece;
            this.inputBytes = Map.copyOf(inputBytes);
            this.readerZone = readerZone;
        }
    }
}
