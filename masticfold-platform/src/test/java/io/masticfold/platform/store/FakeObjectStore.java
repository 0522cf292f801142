package io.masticfold.platform.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/** In-memory object store that replies on the calling thread; a watch waits for a change or a failure. */
final class FakeObjectStore implements ObjectStore {

    enum Fault {
        NONE,
        DOWN,
        /** A write takes effect, but its response is lost. */
        LOSE_WRITE_ANSWERS
    }

    private record Watch(Collection<String> kinds, long since, Consumer<PageReply> reply) {}

    private final Map<String, StoredObject> objects = new TreeMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private long revision;
    private long compactedBelow;
    private Fault fault = Fault.NONE;

    void fault(Fault newFault) {
        fault = newFault;
        if (newFault == Fault.DOWN) {
            answerWatches();
        }
    }

    /** Removes tombstones and the change history, and completes pending watches. */
    void compact() {
        objects.values().removeIf(StoredObject::deleted);
        compactedBelow = revision;
        answerWatches();
    }

    /** Resets the store to an earlier revision, as a restore from a backup does. */
    void resetTo(long earlier) {
        objects.values().removeIf(object -> object.version() > earlier);
        revision = earlier;
        answerWatches();
    }

    long revision() {
        return revision;
    }

    List<String> names(String kind) {
        return objects.values().stream()
                .filter(object -> object.kind().equals(kind) && !object.deleted())
                .map(StoredObject::name)
                .toList();
    }

    void write(String kind, String name, String spec) {
        store(kind, name, "direct", spec);
    }

    private void store(String kind, String name, String changeId, String spec) {
        revision++;
        objects.put(kind + '/' + name, new StoredObject(kind, name, revision, changeId, spec));
        answerWatches();
    }

    private void answerWatches() {
        List<Watch> waiting = List.copyOf(watches);
        watches.clear();
        waiting.forEach(watch -> watch(watch.kinds(), watch.since(), Duration.ZERO, watch.reply()));
    }

    @Override
    public boolean available() {
        return fault != Fault.DOWN;
    }

    @Override
    public Duration retryAfter() {
        return available() ? Duration.ZERO : Duration.ofSeconds(1);
    }

    @Override
    public void get(String kind, String name, Duration _timeout, Consumer<StoreReply> reply) {
        StoredObject object = objects.get(kind + '/' + name);
        if (fault == Fault.DOWN) {
            reply.accept(new StoreReply.Unavailable(retryAfter(), "down"));
        } else {
            reply.accept(object == null || object.deleted() ? new StoreReply.Absent() : new StoreReply.Found(object));
        }
    }

    @Override
    public void put(
            String kind,
            String name,
            long expectedVersion,
            String changeId,
            String spec,
            Duration _timeout,
            Consumer<StoreReply> reply) {
        change(kind, name, expectedVersion, changeId, spec, reply);
    }

    @Override
    public void delete(String kind, String name, long expectedVersion, Duration _timeout, Consumer<StoreReply> reply) {
        change(kind, name, expectedVersion, "delete", null, reply);
    }

    private void change(
            String kind, String name, long expected, String changeId, String spec, Consumer<StoreReply> reply) {
        if (fault == Fault.DOWN) {
            reply.accept(new StoreReply.Unavailable(retryAfter(), "down"));
            return;
        }
        StoredObject current = objects.get(kind + '/' + name);
        long version = current == null || current.deleted() ? 0 : current.version();
        if (version != expected) {
            reply.accept(new StoreReply.Conflict(current));
            return;
        }
        store(kind, name, changeId, spec);
        reply.accept(fault == Fault.LOSE_WRITE_ANSWERS ? new StoreReply.Lost("cut") : new StoreReply.Written(revision));
    }

    @Override
    public void list(Collection<String> kinds, long since, Duration _timeout, Consumer<PageReply> reply) {
        if (fault == Fault.DOWN) {
            reply.accept(new PageReply.Unavailable(retryAfter(), "down"));
        } else if (since > 0 && since < compactedBelow) {
            reply.accept(new PageReply.Compacted());
        } else {
            reply.accept(new PageReply.Page(revision, changed(kinds, since)));
        }
    }

    @Override
    public void watch(Collection<String> kinds, long since, Duration wait, Consumer<PageReply> reply) {
        boolean waits = fault != Fault.DOWN
                && since <= revision
                && since >= compactedBelow
                && changed(kinds, since).isEmpty();
        if (waits) {
            watches.add(new Watch(kinds, since, reply));
        } else {
            list(kinds, since, wait, reply);
        }
    }

    private List<StoredObject> changed(Collection<String> kinds, long since) {
        return objects.values().stream()
                .filter(object -> kinds.contains(object.kind()) && object.version() > since)
                .sorted(Comparator.comparingLong(StoredObject::version))
                .toList();
    }
}
