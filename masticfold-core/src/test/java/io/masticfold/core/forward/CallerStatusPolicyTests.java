package io.masticfold.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.Ran;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against statuses that promise a caller that its request has not run although it may have. */
final class CallerStatusPolicyTests {

    private static Ran ranAfter(List<SendOutcome> outcomes) {
        return outcomes.stream().map(SendOutcome::ran).reduce(Ran.NO, Ran::or);
    }

    @ParameterizedTest
    @CsvSource({
        "UNSAFE, YES, 408, false", "UNSAFE, YES, 421, false", "UNSAFE, YES, 429, false", "UNSAFE, YES, 503, false",
        "UNSAFE, UNKNOWN, 503, false", "UNSAFE, NO, 503, true", "STREAM, YES, 503, false", "STREAM, YES, 500, true",
        "UNSAFE, YES, 302, true", "UNSAFE, YES, 400, true", "UNSAFE, YES, 409, true", "UNSAFE, YES, 500, true",
        "UNSAFE, YES, 502, true", "UNSAFE, YES, 504, true", "SAFE, YES, 503, true", "RESUMABLE_STREAM, YES, 429, true",
    })
    void statusOfATargetIsForwardedUnlessItPromisesTooMuch(RequestKind kind, Ran ran, int status, boolean permitted) {
        assertThat(CallerStatusPolicy.permitForwarding(kind, ran, status)).isEqualTo(permitted);
    }

    @ParameterizedTest
    @CsvSource({
        "OVERLOADED, NO, 503",
        "OVERLOADED, UNKNOWN, 502",
        "OVERLOADED, YES, 502",
        "WORKSPACE_LIMIT, NO, 429",
        "WORKSPACE_LIMIT, UNKNOWN, 502",
        "STAGE_TIMEOUT, NO, 503",
        "STAGE_TIMEOUT, UNKNOWN, 504",
        "SHUTTING_DOWN, YES, 502",
        "TARGET_FAILED, YES, 502",
        "INTERNAL, UNKNOWN, 500",
        "UNKNOWN_PIPELINE, NO, 404",
    })
    void errorOfTheGatewayPromisesNoMoreThanIsKnown(ErrorKind kind, Ran ran, int status) {
        assertThat(CallerStatusPolicy.status(kind, ran)).isEqualTo(status);
    }

    @Property
    void promiseIsMadeOnlyIfNoSendCanHaveRun(
            @ForAll @Size(max = 6) List<SendOutcome> outcomes,
            @ForAll ErrorKind kind,
            @ForAll RequestKind request,
            @ForAll @IntRange(min = 100, max = 599) int targetStatus) {
        boolean mayHaveRun = outcomes.stream().anyMatch(outcome -> outcome.ran() != Ran.NO);
        Ran ran = ranAfter(outcomes);

        if (mayHaveRun) {
            assertThat(RejectionStatus.contains(CallerStatusPolicy.status(kind, ran)))
                    .isFalse();
            boolean forwarded = CallerStatusPolicy.permitForwarding(request, ran, targetStatus);
            assertThat(forwarded && RejectionStatus.contains(targetStatus) && !request.repeatable())
                    .isFalse();
        }
    }
}
