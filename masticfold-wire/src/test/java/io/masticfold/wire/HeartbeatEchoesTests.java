package io.masticfold.wire;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a round trip that is dated too late, which would let a frozen agent start work it must refuse. */
class HeartbeatEchoesTests {

    private final HeartbeatEchoes echoes = new HeartbeatEchoes();

    @Test
    void anEchoTellsWhenItsHeartbeatWasSent() {
        long first = echoes.sending(100);
        long second = echoes.sending(200);

        assertThat(echoes.askedNanos(first)).hasValue(100);
        assertThat(echoes.askedNanos(second)).hasValue(200);
    }

    @ParameterizedTest
    @ValueSource(longs = {0, -1, 51, 1})
    void anEchoOfNothingOrOfAForgottenHeartbeatTellsNothing(long echo) {
        for (int i = 0; i < 50; i++) {
            echoes.sending(i);
        }

        assertThat(echoes.askedNanos(echo)).isEmpty();
    }

    @Test
    void lateHeartbeatsDoNotTakeTheEchoBack() {
        echoes.received(7);
        echoes.received(5);

        assertThat(echoes.lastReceived()).isEqualTo(7);
    }
}
