package io.masticfold.core.order;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.masticfold.core.model.DesiredModel;
import io.masticfold.core.order.AwaitChange.Reason;
import java.time.Duration;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests the decisions: no older version after a newer one, one order in flight at a time, permits, and backoff. */
final class OrderReconcilerTests {

    private static final long SECOND = 1_000_000_000L;
    private static final long NOW = 100 * SECOND;
    private static final DesiredModel OLD = new DesiredModel("m", "", "1", "both");
    private static final DesiredModel NEW = new DesiredModel("m", "", "2", "both");
    private static final DesiredModel NEW_ROLE = new DesiredModel("m", "", "1", "decode");
    private static final OrderState START = OrderState.start(0);
    private static final LoadPermit PERMIT = LoadPermit.granted(NOW, Duration.ofSeconds(10));
    private static final EngineOrder ORDER = new EngineOrder(7, NEW, true);
    private static final OrderState SENT = START.withPermit(PERMIT).sent(ORDER);

    static Stream<Arguments> decisions() {
        OrderState failed = SENT.failed(NOW);
        OrderState justStarted = OrderState.start(NOW);
        return Stream.of(
                Arguments.of("no desired state", START, null, observed(OLD, 0), awaiting(Reason.NO_DESIRED_STATE)),
                Arguments.of("in sync", START, desired(NEW, 7), observed(NEW, 7), awaiting(Reason.IN_SYNC)),
                Arguments.of(
                        "agent just started",
                        justStarted,
                        desired(NEW, 7),
                        observed(OLD, 0),
                        awaiting(Reason.STARTUP_DELAY)),
                Arguments.of("permit required", START, desired(NEW, 7), observed(OLD, 0), new RequestPermit(5)),
                Arguments.of(
                        "permit already requested",
                        START.withPermit(LoadPermit.requested(NOW, Duration.ofSeconds(1))),
                        desired(NEW, 7),
                        observed(OLD, 0),
                        awaiting(Reason.NO_PERMIT)),
                Arguments.of(
                        "permit expired",
                        START.withPermit(LoadPermit.granted(0, Duration.ofSeconds(10))),
                        desired(NEW, 7),
                        observed(OLD, 0),
                        new RequestPermit(5)),
                Arguments.of(
                        "permit granted",
                        START.withPermit(PERMIT),
                        desired(NEW, 7),
                        observed(OLD, 0),
                        new SendOrder(ORDER)),
                Arguments.of(
                        "change of the role only",
                        START,
                        desired(NEW_ROLE, 7),
                        observed(OLD, 0),
                        new SendOrder(new EngineOrder(7, NEW_ROLE, false))),
                Arguments.of(
                        "engine has seen a higher fencing number",
                        START,
                        desired(NEW, 7),
                        observed(OLD, 8),
                        awaiting(Reason.OUTDATED_DESIRED_STATE)),
                Arguments.of(
                        "last order was fenced",
                        SENT.fenced(9, NOW),
                        desired(NEW, 7),
                        observed(OLD, 0),
                        awaiting(Reason.OUTDATED_DESIRED_STATE)),
                Arguments.of(
                        "order in flight", SENT, desired(OLD, 9), observed(OLD, 0), awaiting(Reason.ORDER_IN_FLIGHT)),
                Arguments.of(
                        "permit renewal during a load",
                        SENT.withPermit(LoadPermit.granted(NOW - 6 * SECOND, Duration.ofSeconds(10))),
                        desired(NEW, 7),
                        observed(OLD, 0),
                        new RequestPermit(5)),
                Arguments.of("backoff", failed, desired(NEW, 7), observed(OLD, 0), awaiting(Reason.BACKOFF)),
                Arguments.of(
                        "newer desired state ends the backoff",
                        failed,
                        desired(NEW, 8),
                        observed(OLD, 0),
                        new RequestPermit(5)),
                Arguments.of(
                        "report older than the end of the last order",
                        SENT.succeeded(NOW + 1),
                        desired(NEW, 7),
                        observed(OLD, 0),
                        awaiting(Reason.OUTDATED_OBSERVED_STATE)),
                Arguments.of(
                        "lost order may still take effect",
                        failed,
                        desired(OLD, 8),
                        observed(OLD, 0),
                        new SendOrder(new EngineOrder(8, OLD, false))));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("decisions")
    void decides(String name, OrderState state, DesiredState desired, ObservedState observed, OrderStep expected) {
        assertThat(OrderReconciler.next(state, Optional.ofNullable(desired), observed, NOW))
                .as(name)
                .isEqualTo(expected);
    }

    @Test
    void backoffDoublesUpToAMaximum() {
        OrderState state = SENT;
        long[] waits = new long[9];
        for (int i = 0; i < waits.length; i++) {
            state = state.failed(NOW);
            waits[i] = (state.notBeforeNanos() - NOW) / SECOND;
        }
        assertThat(waits).containsExactly(1, 2, 4, 8, 16, 32, 64, 64, 64);
    }

    @Test
    void theStateRejectsASecondOrderInFlightAndALowerFencingNumber() {
        assertThatThrownBy(() -> SENT.sent(ORDER)).isInstanceOf(IllegalStateException.class);
        OrderState done = SENT.succeeded(NOW);
        assertThatThrownBy(() -> done.sent(new EngineOrder(6, OLD, false))).isInstanceOf(IllegalStateException.class);
    }

    private static DesiredState desired(DesiredModel model, long version) {
        return new DesiredState(model, version, 5);
    }

    private static ObservedState observed(DesiredModel servedModel, long fencingNumber) {
        return new ObservedState(servedModel, fencingNumber, NOW);
    }

    private static OrderStep awaiting(Reason reason) {
        return new AwaitChange(reason);
    }
}
