package io.masticfold.core.stage;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against asking sound servers about every call, and against a lost answer that keeps a server without work. */
final class SilenceSupportTests {

    @ParameterizedTest
    @CsvSource({"280, 1, 318", "280, 0.7, 318", "280, 5, 1600", "43, 1, 60"})
    void aServerOfItsUsualSpeedIsNotAsked(double expected, double slowness, double usualDuration) {
        assertThat(SilenceSupport.askAfterMillis(expected, slowness)).isGreaterThan(usualDuration);
    }

    /** Replays calls whose answers are lost while the aim of the requests leaves a second for all stages. */
    @ParameterizedTest
    @CsvSource({"280, 1", "193, 1"})
    void aLostAnswerLeavesTimeToMakeThePiecesAgainWithinASecond(double expected, double slowness) {
        assertThat(SilenceSupport.askAfterMillis(expected, slowness) + expected).isLessThan(1_000);
    }
}
