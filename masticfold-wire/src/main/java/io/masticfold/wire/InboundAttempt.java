package io.masticfold.wire;

import com.google.protobuf.ByteString;
import io.masticfold.core.attempt.AttemptId;
import io.masticfold.core.attempt.Payload;
import io.masticfold.core.attempt.StageCompleted;
import io.masticfold.core.attempt.StageDispatch;
import io.masticfold.core.attempt.StageFailed;
import io.masticfold.core.attempt.StageOutcome;
import io.masticfold.core.attempt.TargetLoad;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.Ran;
import io.masticfold.core.link.StageListener;
import io.masticfold.wire.proto.Frame;
import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends the result and outcome of an attempt that runs at this agent. Chunks are buffered, up to a limit, while the
 * flow-control window of the attempt is exhausted or the connection is not writable. The listener methods are
 * thread-safe; all others are confined to the event loop of the connection.
 */
final class InboundAttempt implements StageListener {

    private static final Logger LOGGER = LoggerFactory.getLogger(InboundAttempt.class);
    private static final int MAX_RESULT_BYTES = WireLimits.MAX_FRAME_BYTES - WireLimits.FRAME_OVERHEAD_BYTES;

    /** Twice the window: a target client stops reading at its end, but a read in progress may go beyond it. */
    private static final int MAX_PENDING_BYTES = 2 * WireLimits.STREAM_WINDOW_BYTES;

    /**
     * Part of the result that is not sent yet.
     *
     * @param offset offset of the first byte within the result
     * @param bytes bytes to send
     */
    private record PendingChunk(long offset, ByteString bytes) {}

    private final AgentConnection connection;
    private final StageDispatch dispatch;
    private final Deque<PendingChunk> pendingChunks = new ArrayDeque<>();
    private long windowBytes = WireLimits.STREAM_WINDOW_BYTES;
    private int pendingBytes;
    private @Nullable Frame outcomeFrame;
    private boolean flushing;
    private boolean outcomeSent;

    InboundAttempt(AgentConnection connection, StageDispatch dispatch) {
        this.connection = connection;
        this.dispatch = dispatch;
    }

    StageDispatch dispatch() {
        return dispatch;
    }

    @Override
    public void chunk(long offset, Payload bytes) {
        connection.execute(() -> enqueue(offset, bytes));
    }

    @Override
    public void outcome(StageOutcome outcome, TargetLoad load) {
        connection.execute(() -> finish(outcome, load));
    }

    private void enqueue(long offset, Payload bytes) {
        if (outcomeSent || outcomeFrame != null) {
            return;
        }
        pendingChunks.add(new PendingChunk(offset, MessageConverter.bytes(bytes)));
        pendingBytes += bytes.size();
        flush();
        if (pendingBytes > MAX_PENDING_BYTES) {
            handleWindowExceeded();
        }
    }

    private void handleWindowExceeded() {
        connection.environment().telemetry().count("stream_window_exceeded");
        AttemptId attempt = dispatch.attempt();
        WireEvent.WINDOW_EXCEEDED.log(LOGGER, attempt, pendingBytes);
        pendingChunks.clear();
        pendingBytes = 0;
        finish(new StageFailed(ErrorKind.TARGET_FAILED, Ran.YES), connection.load());
        connection.cancelAttempt(attempt);
    }

    private void finish(StageOutcome outcome, TargetLoad load) {
        if (outcomeSent || outcomeFrame != null) {
            return;
        }
        outcomeFrame =
                MessageConverter.outcome(dispatch.attempt(), dispatch.streaming(), limitResultSize(outcome), load);
        flush();
    }

    private StageOutcome limitResultSize(StageOutcome outcome) {
        if (!dispatch.streaming()
                && outcome instanceof StageCompleted completed
                && completed.result().size() > MAX_RESULT_BYTES) {
            connection.environment().telemetry().count("result_too_large");
            WireEvent.RESULT_TOO_LARGE.log(
                    LOGGER, dispatch.attempt(), completed.result().size());
            return new StageFailed(ErrorKind.TARGET_FAILED, Ran.YES);
        }
        return outcome;
    }

    /** Extends the window and sends the chunks that now fit. */
    void extendWindow(int bytes) {
        windowBytes += bytes;
        flush();
    }

    /**
     * Sends as many chunks as the window and the connection allow, and the outcome after the last one. A write may
     * change the writability of the channel and thereby re-enter this method; the nested call returns at once, because
     * the outer call continues.
     */
    void flush() {
        if (flushing) {
            return;
        }
        flushing = true;
        while (!pendingChunks.isEmpty() && windowBytes > 0 && connection.writable()) {
            sendChunk(pendingChunks.remove());
        }
        flushing = false;
        Frame outcome = outcomeFrame;
        if (pendingChunks.isEmpty() && outcome != null && !outcomeSent) {
            outcomeSent = true;
            connection.attemptEnded(dispatch.attempt());
            connection.send(outcome);
        }
    }

    private void sendChunk(PendingChunk chunk) {
        int size = (int) Math.min(Math.min(chunk.bytes().size(), windowBytes), WireLimits.MAX_CHUNK_BYTES);
        windowBytes -= size;
        pendingBytes -= size;
        if (size < chunk.bytes().size()) {
            pendingChunks.addFirst(
                    new PendingChunk(chunk.offset() + size, chunk.bytes().substring(size)));
        }
        connection.send(MessageConverter.chunk(
                dispatch.attempt(), chunk.offset(), chunk.bytes().substring(0, size)));
    }

    /** Discards all unsent data after the link is lost. */
    void discard() {
        outcomeSent = true;
        pendingChunks.clear();
        pendingBytes = 0;
    }
}
