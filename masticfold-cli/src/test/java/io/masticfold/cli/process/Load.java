package io.masticfold.cli.process;

import java.io.IOException;
import java.net.ConnectException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/**
 * Sends questions and payments all the time, one at a time from each of a few threads. Like a balancer it chooses among
 * the entries that say they are ready.
 */
final class Load implements AutoCloseable {

    private static final int THREADS = 4;
    private static final int PAYMENT_EVERY = 4;
    private static final long PAUSE_NANOS = 5_000_000;
    private static final long READY_PAUSE_NANOS = 50_000_000;

    private final List<EntryProcess> entries;
    private final AtomicBoolean running = new AtomicBoolean(true);
    private final AtomicInteger operations = new AtomicInteger();
    private final AtomicInteger completed = new AtomicInteger();
    private final Map<String, AtomicInteger> refused = new ConcurrentHashMap<>();
    private final Queue<String> cut = new ConcurrentLinkedQueue<>();
    private final Queue<String> wrong = new ConcurrentLinkedQueue<>();
    private final Queue<String> paid = new ConcurrentLinkedQueue<>();
    private final Queue<String> unpaid = new ConcurrentLinkedQueue<>();
    private final List<Thread> threads = new ArrayList<>();
    private volatile List<EntryProcess> ready;

    private Load(List<EntryProcess> entries) {
        this.entries = entries;
        this.ready = entries;
    }

    static Load start(List<EntryProcess> entries) {
        Load load = new Load(entries);
        load.startThread(load::watchReadiness);
        for (int i = 0; i < THREADS; i++) {
            load.startThread(load::sendAll);
        }
        return load;
    }

    /** Returns the number of results so far. */
    int completed() {
        return completed.get();
    }

    /** Returns the requests whose connection broke after it was accepted. */
    List<String> cut() {
        return List.copyOf(cut);
    }

    /** Returns the results that do not belong to their request. */
    List<String> wrong() {
        return List.copyOf(wrong);
    }

    /** Returns the operations of payments that had a result. */
    List<String> paid() {
        return List.copyOf(paid);
    }

    /** Returns the operations of payments that were answered with "no effects". */
    List<String> unpaid() {
        return List.copyOf(unpaid);
    }

    /** Returns how often each error kind was answered. */
    Map<String, AtomicInteger> refused() {
        return Map.copyOf(refused);
    }

    /** Waits until a number of further requests had results. */
    void awaitCompleted(int further) throws Exception {
        int goal = completed.get() + further;
        Await.until(further + " further results", () -> completed.get() >= goal, () -> "refused " + refused);
    }

    /** Stops sending and waits for the open requests. */
    @Override
    public void close() throws InterruptedException {
        running.set(false);
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private void startThread(Runnable task) {
        Thread thread = new Thread(task, "load");
        threads.add(thread);
        thread.start();
    }

    private void watchReadiness() {
        while (running.get()) {
            List<EntryProcess> found =
                    entries.stream().filter(EntryProcess::ready).toList();
            ready = found.isEmpty() ? entries : found;
            LockSupport.parkNanos(READY_PAUSE_NANOS);
        }
    }

    private void sendAll() {
        while (running.get()) {
            int number = operations.incrementAndGet();
            String operation = "load-" + number;
            List<EntryProcess> candidates = ready;
            // The quotient makes payments alternate between entries, which the remainder alone would not.
            int choice = number + number / PAYMENT_EVERY;
            send(
                    candidates.get(choice % candidates.size()),
                    number % PAYMENT_EVERY == 0 ? "payment" : "question",
                    operation);
            LockSupport.parkNanos(PAUSE_NANOS);
        }
    }

    private void send(EntryProcess entry, String pipeline, String operation) {
        try {
            take(Caller.call(entry, pipeline, operation), pipeline, operation);
        } catch (ConnectException e) {
            count("connection refused");
        } catch (IOException e) {
            cut.add(entry.name() + ' ' + operation + ": " + e);
        }
    }

    private void take(Reply reply, String pipeline, String operation) throws IOException {
        boolean payment = pipeline.equals("payment");
        if (reply.ok()) {
            if (!reply.belongs()) {
                wrong.add(operation + ": " + reply);
            }
            if (payment) {
                paid.add(operation);
            }
            completed.incrementAndGet();
        } else {
            count(reply.errorKind());
            if (payment && reply.effects().equals("no")) {
                unpaid.add(operation);
            }
        }
    }

    private void count(String reason) {
        refused.computeIfAbsent(reason, _reason -> new AtomicInteger()).incrementAndGet();
    }
}
