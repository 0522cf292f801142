package io.masticfold.wire;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.masticfold.core.attempt.AttemptId;
import io.masticfold.core.attempt.Payload;
import io.masticfold.core.attempt.SealOutcome;
import io.masticfold.core.attempt.StageCompleted;
import io.masticfold.core.attempt.StageDispatch;
import io.masticfold.core.attempt.StageFailed;
import io.masticfold.core.attempt.StageRefused;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.Ran;
import io.masticfold.wire.proto.Frame;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.DefaultEventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards the outcomes that an entry reports after the loss of a link, and the handling of late messages. */
final class LinkLossTests {

    private static final StageRefused UNREACHABLE = new StageRefused(ErrorKind.TARGET_UNREACHABLE, Duration.ZERO);
    private static final StageFailed LOST = new StageFailed(ErrorKind.LINK_LOST, Ran.UNKNOWN);

    private final TargetLink link = new TargetLink(
            "t1",
            "127.0.0.1:1",
            _link -> new Dialer(
                    new Bootstrap(),
                    new DefaultEventLoop(),
                    new InetSocketAddress("127.0.0.1", 1),
                    new Backoff(new SplittableRandom(1))));
    private final RecordingListener listener = new RecordingListener();
    private EmbeddedPeer entry;

    @BeforeEach
    void connect() throws IOException {
        entry = new EmbeddedPeer(
                        PeerRole.ENTRY,
                        environment -> peer -> new EntryConnection(
                                environment,
                                new ConfigDeltaCodec(environment.codec()),
                                peer,
                                link,
                                PermitHandler.DENY_ALL))
                .authenticate();
        entry.send(EmbeddedPeer.heartbeat());
    }

    private StageDispatch dispatch(long counter, boolean streaming) {
        StageDispatch dispatch = LoopbackFixture.dispatch(counter, true, streaming);
        link.dispatch(dispatch, listener);
        entry.channel().runPendingTasks();
        return dispatch;
    }

    /** Guards against reporting an attempt as not run although its frame was written completely. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void linkLossIsClassifiedByWriteCompletion(boolean held) {
        if (held) {
            entry.writes.hold();
        }
        dispatch(1, false);
        assertThat(listener.outcomes()).isEmpty();
        entry.channel().close();
        entry.channel().runPendingTasks();
        assertThat(listener.outcomes()).containsExactly(held ? UNREACHABLE : LOST);
        assertThat(link.usable()).isFalse();

        dispatch(2, false);
        assertThat(listener.outcomes()).last().isEqualTo(UNREACHABLE);
    }

    /** Guards against dispatches to a silent peer, and against a link that stays unusable after its return. */
    @Test
    void silentLinkIsNotUsed() throws IOException {
        assertThat(link.usable()).isTrue();
        entry.time.advance(WireLimits.LINK_SUSPECT_TIMEOUT.minusNanos(1));
        assertThat(link.usable()).isTrue();
        entry.time.advance(Duration.ofNanos(1));
        assertThat(link.usable()).isFalse();
        dispatch(1, false);
        assertThat(listener.outcomes()).containsExactly(UNREACHABLE);
        assertThat(entry.received().stream().map(Frame::getMessageCase)).doesNotContain(Frame.MessageCase.DISPATCH);

        entry.send(EmbeddedPeer.heartbeat());
        assertThat(link.usable()).isTrue();
    }

    /** Guards against attempts that stay open forever when the peer sends no more frames. */
    @Test
    void silentLinkIsClosed() {
        dispatch(1, false);
        entry.time.advance(WireLimits.LINK_CLOSE_TIMEOUT.plusNanos(1));
        entry.channel().advanceTimeBy(WireLimits.HEARTBEAT_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        entry.channel().runScheduledPendingTasks();
        assertThat(entry.open()).isFalse();
        assertThat(listener.outcomes()).containsExactly(LOST);
    }

    /** Guards against dispatches to an agent that has announced its shutdown. */
    @Test
    void leavingAgentIsNotUsed() {
        Frame.Builder leaving = EmbeddedPeer.heartbeat().toBuilder();
        leaving.getHeartbeatBuilder().setLeaving(true);
        entry.send(leaving.build());
        assertThat(link.usable()).isFalse();
        assertThat(link.status().leaving()).isTrue();
    }

    /** Guards against an outcome that is delivered twice, or to an unknown attempt. */
    @ParameterizedTest
    @CsvSource({"1, 1", "2, 0"})
    void lateAndDuplicateOutcomesAreDropped(long counter, int delivered) {
        dispatch(1, false);
        AttemptId id = new AttemptId(LoopbackFixture.ENTRY, counter);
        StageCompleted completed = new StageCompleted(Payload.ofUtf8("{}"), 5);
        entry.send(MessageConverter.outcome(id, false, completed, LoopbackFixture.LOAD));
        entry.send(MessageConverter.outcome(id, false, LOST, LoopbackFixture.LOAD));
        entry.send(MessageConverter.chunk(id, 0, ByteString.copyFromUtf8("late")));
        assertThat(listener.outcomes()).hasSize(delivered);
        assertThat(entry.telemetry.value("late_outcome")).isEqualTo(2 - delivered);
        assertThat(entry.telemetry.value("late_chunk")).isOne();
        assertThat(entry.open()).isTrue();
    }

    /** Guards against dispatching the same attempt id twice. */
    @Test
    void secondDispatchOfAnAttemptIsNotSent() throws IOException {
        dispatch(1, false);
        dispatch(1, false);
        assertThat(listener.outcomes()).containsExactly(new StageFailed(ErrorKind.DUPLICATE_ATTEMPT, Ran.UNKNOWN));
        assertThat(entry.received().stream().filter(Frame::hasDispatch)).hasSize(1);
    }

    /** Guards against an incomplete stream that is reported as a complete result. */
    @ParameterizedTest
    @CsvSource({"0, 3, 6, true", "3, 0, 6, true", "0, 4, 7, false", "0, 3, 7, false", "0, 3, 5, false"})
    void streamMustBeComplete(long first, long second, int total, boolean whole) {
        StageDispatch dispatch = dispatch(1, true);
        entry.send(MessageConverter.chunk(dispatch.attempt(), first, text(first)));
        entry.send(MessageConverter.chunk(dispatch.attempt(), second, text(second)));
        StageCompleted end = new StageCompleted(Payload.wrap(new byte[total]), 5);
        entry.send(MessageConverter.outcome(dispatch.attempt(), true, end, LoopbackFixture.LOAD));
        assertThat(listener.outcomes())
                .containsExactly(
                        whole
                                ? new StageCompleted(Payload.ofUtf8("abcdef"), 5)
                                : new StageFailed(ErrorKind.LINK_LOST, Ran.YES));
        assertThat(entry.telemetry.value("incomplete_result")).isEqualTo(whole ? 0 : 1);
    }

    private static ByteString text(long offset) {
        return ByteString.copyFromUtf8(offset == 0 ? "abc" : "def");
    }

    /** Guards against callers that wait forever for a seal reply after the link is lost. */
    @Test
    void sealOnALostLinkIsUnknown() {
        List<SealOutcome> outcomes = new ArrayList<>();
        AttemptId id = new AttemptId(LoopbackFixture.ENTRY, 1);
        link.seal(id, LoopbackFixture.AGENT, outcomes::add);
        entry.channel().runPendingTasks();
        assertThat(outcomes).isEmpty();
        entry.channel().close();
        entry.channel().runPendingTasks();
        link.seal(id, LoopbackFixture.AGENT, outcomes::add);
        assertThat(outcomes).hasSize(2).allMatch(SealOutcome.of(SealOutcome.State.UNKNOWN)::equals);
    }
}
