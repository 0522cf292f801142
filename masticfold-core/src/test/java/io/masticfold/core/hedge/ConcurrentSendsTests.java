package io.masticfold.core.hedge;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;

/** Guards against two answers to one request, and against a failure that ends a request whose other send goes on. */
final class ConcurrentSendsTests {

    private final ConcurrentSends<String> sends = new ConcurrentSends<>();

    private void begin() {
        sends.add("first");
        sends.add("second");
    }

    @Test
    void firstAnswerCancelsTheOtherSend() {
        begin();

        assertThat(sends.answered("second")).containsExactly("first");
        assertThat(sends.contains("first")).isFalse();
        assertThat(sends.isEmpty()).isTrue();
    }

    @Test
    void firstSendThatFailsLeavesTheSecondAlone() {
        begin();

        assertThat(sends.failed("first")).isTrue();
        assertThat(sends.answered("second")).isEmpty();
    }

    @Test
    void secondSendThatFailsLeavesTheFirstAlone() {
        begin();

        assertThat(sends.failed("second")).isTrue();
        assertThat(sends.latest()).contains("first");
    }

    @Test
    void requestFailsOnceBothHaveFailed() {
        begin();

        assertThat(sends.failed("first")).isTrue();
        assertThat(sends.failed("second")).isFalse();
    }

    @Test
    void callerThatLeavesOrAStopEndsBoth() {
        begin();

        assertThat(sends.removeAll()).containsExactly("first", "second");
        assertThat(sends.removeAll()).isEmpty();
    }

    @Test
    void thirdSendIsRefused() {
        begin();

        assertThatThrownBy(() -> sends.add("third")).isInstanceOf(IllegalStateException.class);
    }
}
