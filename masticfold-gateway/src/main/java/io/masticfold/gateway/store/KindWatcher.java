package io.masticfold.gateway.store;

import io.masticfold.core.directory.StorePosition;
import io.masticfold.core.error.MasticfoldException;
import io.masticfold.core.time.Cancellable;
import io.masticfold.core.time.Scheduler;
import io.masticfold.gateway.http.CallResult;
import io.masticfold.gateway.protocol.StoreDialect;
import io.masticfold.gateway.protocol.StoreKind;
import io.masticfold.gateway.protocol.StoreObject;
import io.masticfold.gateway.protocol.StorePage;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ObjLongConsumer;
import org.jspecify.annotations.Nullable;

/** Lists the objects of one kind and then watches their changes until the gateway exits. Not thread-safe. */
final class KindWatcher {

    /** Time for which the store may hold a watch open by which an unresponsive store is detected. */
    static final Duration WATCH_WAIT = Duration.ofMillis(2500);

    /** Wait of a watch that only shows whether the store answers. */
    private static final Duration NO_WAIT = Duration.ofMillis(1);

    /** Number of turns in which the watches of the kinds return. */
    private static final int TURNS = 3;

    /** Timeout of a list call. */
    static final Duration LIST_TIMEOUT = Duration.ofMillis(1500);

    private final ObjectStoreClient store;
    private final CheckedRead read;
    private final StoreDialect dialect;
    private final Scheduler scheduler;
    private final StoreKind kind;
    private final Duration pause;
    private final KindListener listener;
    private final ReadPlan plan;
    private final Runnable onSilentConnection;
    private List<StoreObject> pages = new ArrayList<>();
    private final RetryDelay retryDelay = new RetryDelay();
    private final Map<String, StoreObject> objects = new HashMap<>();
    private StorePosition listPosition = StorePosition.NONE;
    private StorePosition known = StorePosition.NONE;
    private boolean failing;
    private @Nullable Cancellable nextWatch;
    private @Nullable Runnable onReread;
    private boolean outOfStep;

    /**
     * Creates a watcher.
     *
     * @param pause time between two watches; the next watch returns the changes made in between
     * @param plan decides when this gateway reads
     * @param onSilentConnection called when the connection of a watch is found to be silent
     */
    KindWatcher(
            ObjectStoreClient store,
            StoreDialect dialect,
            Scheduler scheduler,
            StoreKind kind,
            Duration pause,
            KindListener listener,
            ReadPlan plan,
            Runnable onSilentConnection) {
        this.store = store;
        this.read = new CheckedRead(store, scheduler);
        this.dialect = dialect;
        this.scheduler = scheduler;
        this.kind = kind;
        this.pause = pause;
        this.listener = listener;
        this.plan = plan;
        this.onSilentConnection = onSilentConnection;
    }

    void start() {
        list(null);
    }

    /**
     * Reads the complete list at once. The answer to a call in progress may be older than this and is ignored.
     *
     * @param onEnd called once when the list has been read, or could not be read
     */
    void reread(Runnable onEnd) {
        if (nextWatch != null) {
            nextWatch.cancel();
        }
        onReread = onEnd;
        list(null);
    }

    private void rereadEnded() {
        Runnable onEnd = onReread;
        onReread = null;
        if (onEnd != null) {
            onEnd.run();
        }
    }

    /** Returns the watched kind. */
    StoreKind kind() {
        return kind;
    }

    /** Returns the position up to which every change is known; {@link StorePosition#NONE} before the first list. */
    StorePosition known() {
        return known;
    }

    /**
     * Replaces the objects by a complete list that a peer has read from the store, if the list is newer.
     *
     * @return whether the list was newer
     */
    boolean replaceIfNewer(List<StoreObject> listed, StorePosition position) {
        if (!position.isAfter(known)) {
            return false;
        }
        replaceAll(listed, position);
        return true;
    }

    /** Returns the known objects. */
    List<StoreObject> objects() {
        return List.copyOf(objects.values());
    }

    /** Returns whether a call failed and none has succeeded since; a 410 response to a watch is no success. */
    boolean failing() {
        return failing;
    }

    private void replaceAll(List<StoreObject> listed, StorePosition position) {
        boolean restored = position.restoredSince(known);
        known = position;
        objects.clear();
        listed.forEach(object -> objects.put(object.name(), object));
        plan.replaceAll(listed);
        listener.listed(listed, position.revision(), restored);
    }

    private void list(@Nullable String after) {
        nextWatch = null;
        if (after == null) {
            pages = new ArrayList<>();
        }
        read.read(dialect.listUri(kind, after), LIST_TIMEOUT, this::handleList);
    }

    private void handleList(CallResult result) {
        handleResult(
                result,
                dialect::decodePage,
                (page, era) -> {
                    if (pages.isEmpty()) {
                        listPosition = new StorePosition(era, page.revision());
                    } else if (era != listPosition.era()) {
                        // The pages would be of different states.
                        list(null);
                        return;
                    }
                    pages.addAll(page.objects());
                    if (page.more() && !page.objects().isEmpty()) {
                        list(page.objects().get(page.objects().size() - 1).name());
                    } else {
                        // The watch starts at the revision of the first page and returns changes made while paging.
                        if (!known.isAfter(listPosition)) {
                            replaceAll(List.copyOf(pages), listPosition);
                        }
                        rereadEnded();
                        outOfStep = true;
                        nextWatch = scheduler.schedule(pause, this::watchIfDue);
                    }
                },
                () -> list(null));
    }

    private void watchIfDue() {
        Duration delay = plan.delay(known.era());
        if (!delay.isZero()) {
            nextWatch = scheduler.schedule(delay, this::watchIfDue);
        } else if (plan.listInsteadOfWatch()) {
            list(null);
        } else if (outOfStep) {
            outOfStep = false;
            watchOutOfStep();
        } else {
            watch();
        }
    }

    /** Reads at once if the plan asks for it, unless a list is in progress or the last call has just ended. */
    void readIfDue() {
        if (read.watching()) {
            if (plan.readNow(known.era(), true)) {
                // The connection of the watch is silent, and idle ones may be, too.
                store.closeIdleConnections();
                list(null);
            }
        } else if (nextWatch != null && plan.readNow(known.era(), false)) {
            nextWatch.cancel();
            nextWatch = null;
            watchIfDue();
        }
    }

    /** Returns the plan of the reads. */
    ReadPlan plan() {
        return plan;
    }

    private void watch() {
        watch(plan.watchWait());
    }

    private void watch(Duration wait) {
        nextWatch = null;
        read.watch(
                dialect.watchUri(kind, known.revision(), wait),
                wait,
                () -> dialect.watchUri(kind, known.revision(), NO_WAIT),
                this::handleWatch,
                this::handleSilentWatch);
    }

    /** The connection of the watch is silent; those of other kinds may be, too. */
    private void handleSilentWatch(CallResult result) {
        listener.callFailed(kind + ": the connection of the watch is silent", plan.sinceConfirmed(known.era()));
        handleWatch(result);
        onSilentConnection.run();
    }

    /** Replaces an open watch, whose connection may be silent, by one over a new connection. */
    void renewWatch() {
        if (read.watching()) {
            read.abandon();
            watchOutOfStep();
        }
    }

    /**
     * Begins the watches with a shorter one for some kinds. The watches of a gateway then return one after the other,
     * so that a loss of all connections is soon noticed.
     */
    private void watchOutOfStep() {
        int turn = kind.ordinal() % TURNS + 1;
        watch(plan.watchWait().multipliedBy(turn).dividedBy(TURNS));
    }

    private void handleWatch(CallResult result) {
        if (result instanceof CallResult.Answered answered && answered.status() == HttpResponseStatus.GONE.code()) {
            listener.callSucceeded();
            list(null);
            return;
        }
        handleResult(
                result,
                dialect::decodeChanges,
                (page, era) -> {
                    if (era > known.era()) {
                        // The revision of the watch names another state in the new era.
                        list(null);
                        return;
                    }
                    StorePosition position = new StorePosition(era, page.revision());
                    // A peer may have supplied a newer list while the watch was open.
                    if (position.isAfter(known)) {
                        known = position;
                        if (!page.objects().isEmpty()) {
                            page.objects().forEach(this::put);
                            listener.changed(page.objects(), page.revision());
                        }
                    }
                    nextWatch = scheduler.schedule(pause, this::watchIfDue);
                },
                () -> watch(NO_WAIT));
    }

    private void put(StoreObject object) {
        plan.put(object);
        if (object.deleted()) {
            objects.remove(object.name());
        } else {
            objects.put(object.name(), object);
        }
    }

    private void handleResult(
            CallResult result, PageDecoder decoder, ObjLongConsumer<StorePage> onPage, Runnable retry) {
        String problem;
        boolean silent = false;
        if (result instanceof CallResult.Answered answered) {
            if (answered.status() == HttpResponseStatus.OK.code()) {
                try {
                    StorePage page = decoder.decode(answered.body());
                    retryDelay.reset();
                    failing = false;
                    plan.recordOwnRead();
                    listener.callSucceeded();
                    onPage.accept(page, dialect.decodeEra(answered.headers()));
                    return;
                } catch (MasticfoldException e) {
                    problem = "malformed response: " + e.getMessage();
                } catch (RuntimeException e) {
                    // The watch goes on whatever an object holds.
                    problem = "response cannot be applied: " + e;
                }
            } else {
                problem = "status " + answered.status();
            }
        } else {
            CallResult.Failed unanswered = (CallResult.Failed) result;
            problem = unanswered.detail();
            silent = unanswered.silent();
        }
        failing = true;
        listener.callFailed(kind + ": " + problem, silent ? plan.sinceConfirmed(known.era()) : Duration.ZERO);
        int failed = read.number();
        scheduler.schedule(retryDelay.next(), () -> {
            if (failed == read.number()) {
                retry.run();
            }
        });
        rereadEnded();
    }
}
