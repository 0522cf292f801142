package io.masticfold.wire;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.attempt.AttemptId;
import io.masticfold.core.attempt.Payload;
import io.masticfold.core.attempt.StageCompleted;
import io.masticfold.core.attempt.StageDispatch;
import io.masticfold.core.attempt.StageFailed;
import io.masticfold.core.attempt.StageOutcome;
import io.masticfold.core.attempt.StageRefused;
import io.masticfold.core.attempt.TargetLoad;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.Ran;
import io.masticfold.core.link.StageListener;
import io.masticfold.wire.proto.Frame;
import io.netty.channel.WriteBufferWaterMark;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards the frames an agent sends for its attempts, and the handling of open attempts when the link is lost. */
final class InboundAttemptTests {

    private final RecordingHandler handler = new RecordingHandler();
    private EmbeddedPeer agent;

    @BeforeEach
    void connect() throws IOException {
        AgentState state = new AgentState() {
            @Override
            public TargetLoad load() {
                return LoopbackFixture.LOAD;
            }

            @Override
            public boolean leaving() {
                return false;
            }
        };
        agent = new EmbeddedPeer(
                        PeerRole.AGENT,
                        environment -> peer -> new AgentConnection(
                                environment,
                                new ConfigDeltaCodec(environment.codec()),
                                peer,
                                new WireServer(environment, new InetSocketAddress("127.0.0.1", 0), handler, state, 1),
                                handler,
                                state))
                .authenticate();
    }

    private StageListener dispatched(long counter, boolean idempotent, boolean streaming) {
        StageDispatch dispatch = LoopbackFixture.dispatch(counter, idempotent, streaming);
        agent.send(MessageConverter.dispatch(dispatch, 0));
        return handler.listener(dispatch.attempt());
    }

    /** Guards against idempotent work that runs on after the link is lost, and against lost results of other work. */
    @ParameterizedTest
    @CsvSource({"true, false, 1, 0", "true, true, 1, 0", "false, false, 0, 0", "false, true, 0, 1"})
    void linkLossCancelsOnlyIdempotentAttempts(boolean idempotent, boolean streaming, int cancelled, int grants) {
        dispatched(1, idempotent, streaming);
        agent.channel().close();
        agent.channel().runPendingTasks();
        assertThat(handler.cancelled()).hasSize(cancelled);
        assertThat(handler.grants()).hasSize(grants);
    }

    /** Guards against a duplicate dispatch whose refusal ends the attempt in progress. */
    @Test
    void duplicateOnTheSameLinkIsIgnored() throws IOException {
        dispatched(1, false, false);
        dispatched(1, false, false);
        assertThat(handler.dispatches()).hasSize(1);
        assertThat(agent.received()).isEmpty();
        assertThat(agent.telemetry.value("attempt_message_ignored")).isOne();
    }

    /** Guards against reporting an attempt as not run when only a duplicate of it was refused. */
    @ParameterizedTest
    @CsvSource({"DUPLICATE_ATTEMPT, FAILED", "SEALED, REFUSED", "QUEUE_FULL, REFUSED"})
    void refusalOfDuplicateIsSentAsFailure(ErrorKind kind, Frame.MessageCase frame) throws IOException {
        dispatched(1, false, false).outcome(new StageRefused(kind, Duration.ZERO), LoopbackFixture.LOAD);
        assertThat(agent.received().stream().map(Frame::getMessageCase)).containsExactly(frame);
    }

    /** Guards the order of chunks when the writes of a stream change the writability of the channel. */
    @Test
    void chunksKeepTheirOrderWithLowWriteBufferWaterMarks() throws IOException {
        agent.channel().config().setWriteBufferWaterMark(new WriteBufferWaterMark(1_024, 4_096));
        StageListener listener = dispatched(1, true, true);
        listener.chunk(0, Payload.wrap(new byte[200_000]));
        listener.chunk(200_000, Payload.wrap(new byte[10]));
        listener.outcome(new StageCompleted(Payload.wrap(new byte[200_010]), 0), LoopbackFixture.LOAD);
        long offset = 0;
        List<Frame> frames = agent.received();
        for (Frame frame : frames.subList(0, frames.size() - 1)) {
            assertThat(frame.getChunk().getOffset()).isEqualTo(offset);
            offset += frame.getChunk().getBytes().size();
        }
        assertThat(offset).isEqualTo(200_010);
        assertThat(frames).last().matches(Frame::hasEnd);
    }

    /** Guards the memory of an agent against a target client that ignores the flow-control window. */
    @Test
    void streamBeyondTheWindowIsCancelled() throws IOException {
        StageListener listener = dispatched(1, true, true);
        int part = WireLimits.STREAM_WINDOW_BYTES;
        for (int i = 0; i < 4; i++) {
            listener.chunk((long) i * part, Payload.wrap(new byte[part]));
        }
        listener.outcome(new StageCompleted(Payload.EMPTY, 0), LoopbackFixture.LOAD);
        List<Frame> frames = agent.received();
        // The embedded event loop may run later tasks during the first write, so that less than a window is sent.
        assertThat(frames.subList(0, frames.size() - 1)).allMatch(Frame::hasChunk);
        assertThat(frames.stream()
                        .mapToInt(frame -> frame.getChunk().getBytes().size())
                        .sum())
                .isLessThanOrEqualTo(part);
        assertThat(frames).last().matches(Frame::hasFailed);
        assertThat(MessageConverter.failed(frames.get(frames.size() - 1).getFailed()))
                .isEqualTo(new StageFailed(ErrorKind.TARGET_FAILED, Ran.YES));
        assertThat(handler.cancelled()).containsExactly(new AttemptId(LoopbackFixture.ENTRY, 1));
        assertThat(agent.telemetry.value("stream_window_exceeded")).isOne();
    }

    /** Guards against late starts: after a pause, an agent reads messages whose budget ran out during the pause. */
    @ParameterizedTest
    @CsvSource({"0, 750000", "999, 750000", "1000, 0", "60000, 0"})
    void pauseIsSubtractedFromTheBudget(long pauseMillis, long budgetMicros) {
        agent.time.advance(Duration.ofMillis(pauseMillis));
        dispatched(1, false, false);
        assertThat(handler.dispatches().get(0).budgetMicros()).isEqualTo(budgetMicros);

        agent.time.advance(WireLimits.HEARTBEAT_INTERVAL.plusNanos(1));
        dispatched(2, false, false);
        assertThat(handler.dispatches().get(1).budgetMicros()).isEqualTo(750_000);
    }

    /** Guards against a result beyond the frame limit, which would close the connection. */
    @ParameterizedTest
    @CsvSource({"2080768, END", "2080769, FAILED"})
    void oversizedResultFails(int size, Frame.MessageCase frame) throws IOException {
        StageOutcome outcome = new StageCompleted(Payload.wrap(new byte[size]), 0);
        dispatched(1, false, false).outcome(outcome, LoopbackFixture.LOAD);
        assertThat(agent.received().stream().map(Frame::getMessageCase)).containsExactly(frame);
        assertThat(agent.open()).isTrue();
    }
}
