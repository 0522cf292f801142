package io.masticfold.entry.http;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.AbstractChannelSupplier;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.masticfold.core.attempt.Payload;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.IntConsumer;
import org.jspecify.annotations.Nullable;

/**
 * Encodes a streaming result as server-sent events. Each line of the result becomes a {@code token} event whose id is
 * the offset of the byte after the line. Confined to one event loop.
 */
final class SseResponseStream extends AbstractChannelSupplier<ByteBuf> {

    private final Runnable onClose;
    private final IntConsumer onConsumed;
    private final Deque<ByteBuf> readyEvents = new ArrayDeque<>();
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private long offset;
    private boolean ended;
    private @Nullable SettablePromise<@Nullable ByteBuf> pendingRead;

    /**
     * Creates a stream.
     *
     * @param onClose called if the caller disconnects before the end of the stream
     * @param onConsumed called with the number of encoded bytes handed to the caller's connection
     */
    SseResponseStream(Runnable onClose, IntConsumer onConsumed) {
        this.onClose = onClose;
        this.onConsumed = onConsumed;
    }

    /** Appends the next chunk of the result. */
    void append(Payload part) {
        for (byte value : part.unsafeBytes()) {
            offset++;
            if (value == '\n') {
                enqueue("id: " + offset + "\nevent: token\ndata: " + line.toString(StandardCharsets.UTF_8) + "\n\n");
                line.reset();
            } else {
                line.write(value);
            }
        }
    }

    /** Sends the final event and ends the stream. */
    void sendFinalEvent(String event, byte[] json) {
        if (ended) {
            return;
        }
        if (line.size() > 0) {
            enqueue("id: " + offset + "\nevent: token\ndata: " + line.toString(StandardCharsets.UTF_8) + "\n\n");
        }
        enqueue("event: " + event + "\ndata: " + new String(json, StandardCharsets.UTF_8) + "\n\n");
        ended = true;
        completePendingRead();
    }

    private void enqueue(String text) {
        if (isClosed()) {
            return;
        }
        readyEvents.add(ByteBuf.wrapForReading(text.getBytes(StandardCharsets.UTF_8)));
        completePendingRead();
    }

    private void completePendingRead() {
        SettablePromise<@Nullable ByteBuf> promise = pendingRead;
        if (promise == null || (readyEvents.isEmpty() && !ended)) {
            return;
        }
        pendingRead = null;
        promise.set(pollEvent());
    }

    private @Nullable ByteBuf pollEvent() {
        ByteBuf buf = readyEvents.poll();
        if (buf != null) {
            onConsumed.accept(buf.readRemaining());
        }
        return buf;
    }

    @Override
    protected Promise<ByteBuf> doGet() {
        if (!readyEvents.isEmpty() || ended) {
            return Promise.of(pollEvent());
        }
        SettablePromise<@Nullable ByteBuf> promise = new SettablePromise<>();
        pendingRead = promise;
        return promise;
    }

    @Override
    protected void onClosed(Exception e) {
        readyEvents.forEach(ByteBuf::recycle);
        readyEvents.clear();
        SettablePromise<@Nullable ByteBuf> promise = pendingRead;
        pendingRead = null;
        if (promise != null) {
            promise.trySetException(e);
        }
        if (!ended) {
            onClose.run();
        }
    }
}
