package io.masticfold.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against responses from which more is concluded about the execution of a request than they say. */
final class ResponseEvidenceTests {

    @ParameterizedTest
    @CsvSource({
        // status, states "not executed", belongs to this request only, authentic
        "200, false, true, true, ANSWERED", "204, false, true, true, ANSWERED", "302, false, true, true, FAILED",
        "200, false, true, false, UNKNOWN", "200, false, false, false, UNKNOWN", "500, false, true, true, FAILED",
        "503, false, true, true, FAILED", "429, false, true, true, FAILED", "408, false, true, true, FAILED",
        "503, false, true, false, UNKNOWN", "503, true, true, false, NOT_RUN", "503, true, true, true, NOT_RUN",
        "429, true, true, false, NOT_RUN", "400, true, true, false, NOT_RUN", "409, true, true, false, INPUT_GONE",
        "409, false, true, true, FAILED", "503, true, false, false, UNKNOWN", "421, false, true, false, NOT_RUN",
        "421, true, true, true, NOT_RUN", "421, false, false, false, UNKNOWN", "200, true, true, true, UNKNOWN",
        "200, true, true, false, UNKNOWN", "302, true, true, true, UNKNOWN",
    })
    void outcomeIsNoMoreThanTheResponseSays(
            int status, boolean notExecuted, boolean own, boolean authentic, SendOutcome outcome) {
        assertThat(new ResponseEvidence(status, notExecuted, own, authentic).outcome())
                .isEqualTo(outcome);
    }
}
