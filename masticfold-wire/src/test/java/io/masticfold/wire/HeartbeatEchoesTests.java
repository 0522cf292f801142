package io.masticfold.wire;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a send time that is too late, which would let a paused agent start work it must refuse, and against an
 * echo that decreases when heartbeats arrive out of order.
 */
class HeartbeatEchoesTests {

    private final HeartbeatEchoes echoes = new HeartbeatEchoes();

    @Test
    void echoReturnsSendTimeOfItsHeartbeat() {
        long first = echoes.recordSent(100);
        long second = echoes.recordSent(200);

        assertThat(echoes.sentTimeNanos(first)).hasValue(100);
        assertThat(echoes.sentTimeNanos(second)).hasValue(200);
    }

    @ParameterizedTest
    @ValueSource(longs = {0, -1, 51, 1})
    void unknownOrExpiredEchoReturnsEmpty(long echo) {
        for (int i = 0; i < 50; i++) {
            echoes.recordSent(i);
        }

        assertThat(echoes.sentTimeNanos(echo)).isEmpty();
    }

    @Test
    void reorderedHeartbeatDoesNotLowerTheEcho() {
        echoes.recordReceived(7);
        echoes.recordReceived(5);

        assertThat(echoes.lastReceived()).isEqualTo(7);
    }
}
