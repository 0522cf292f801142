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
final class EventStream extends AbstractChannelSupplier<ByteBuf> {

    private final Runnable onClose;
    private final IntConsumer onConsumed;
    private final Deque<ByteBuf> ready = new ArrayDeque<>();
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private long offset;
    private boolean ended;
    private @Nullable SettablePromise<@Nullable ByteBuf> waiting;

    /**
     * Creates a stream.
     *
     * @param onClose called if the caller disconnects before the end of the stream
     * @param onConsumed called with the number of encoded bytes handed to the caller's connection
     */
    EventStream(Runnable onClose, IntConsumer onConsumed) {
        this.onClose = onClose;
        this.onConsumed = onConsumed;
    }

    /** Appends the next chunk of the result. */
    void append(Payload part) {
        for (byte value : part.unsafeBytes()) {
            offset++;
            if (value == '\n') {
                emit("id: " + offset + "\nevent: token\ndata: " + line.toString(StandardCharsets.UTF_8) + "\n\n");
                line.reset();
            } else {
                line.write(value);
            }
        }
    }

    /** Sends the final event and ends the stream. */
    void end(String event, byte[] json) {
        if (ended) {
            return;
        }
        if (line.size() > 0) {
            emit("id: " + offset + "\nevent: token\ndata: " + line.toString(StandardCharsets.UTF_8) + "\n\n");
        }
        emit("event: " + event + "\ndata: " + new String(json, StandardCharsets.UTF_8) + "\n\n");
        ended = true;
        deliver();
    }

    private void emit(String text) {
        if (isClosed()) {
            return;
        }
        ready.add(ByteBuf.wrapForReading(text.getBytes(StandardCharsets.UTF_8)));
        deliver();
    }

    private void deliver() {
        SettablePromise<@Nullable ByteBuf> promise = waiting;
        if (promise == null || (ready.isEmpty() && !ended)) {
            return;
        }
        waiting = null;
        promise.set(next());
    }

    private @Nullable ByteBuf next() {
        ByteBuf buf = ready.poll();
        if (buf != null) {
            onConsumed.accept(buf.readRemaining());
        }
        return buf;
    }

    @Override
    protected Promise<ByteBuf> doGet() {
        if (!ready.isEmpty() || ended) {
            return Promise.of(next());
        }
        SettablePromise<@Nullable ByteBuf> promise = new SettablePromise<>();
        waiting = promise;
        return promise;
    }

    @Override
    protected void onClosed(Exception e) {
        ready.forEach(ByteBuf::recycle);
        ready.clear();
        SettablePromise<@Nullable ByteBuf> promise = waiting;
        waiting = null;
        if (promise != null) {
            promise.trySetException(e);
        }
        if (!ended) {
            onClose.run();
        }
    }
}
