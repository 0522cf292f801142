package io.masticfold.core.order;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.model.DesiredModel;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Tag;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Checks, for an engine that ignores fencing numbers, that orders never return to an older version, that weights are
 * loaded only with a valid permit, and that the engine reaches the desired state, although responses are lost, orders
 * take effect late or not at all and reports are delayed.
 */
@Tag("property")
final class OrderReconcilerProperties {

    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final Duration TERM = Duration.ofSeconds(10);

    @Property(seed = "20261206", tries = 2_000)
    void ordersNeverGoBackAndReachTheDesiredState(
            @ForAll @Size(max = 80) List<@IntRange(min = 0, max = 9) Integer> history) {
        OrderHistory run = new OrderHistory();
        history.forEach(run::play);
        run.finish();
    }

    /** Applies random steps to the reconciler and an engine that may carry out an order late or not at all. */
    private static final class OrderHistory {

        private long now;
        private OrderState state = OrderState.start(0);
        private DesiredState desired = desired(1, 0);
        private DesiredModel servedModel = desired.model();
        private DesiredModel lateModel = servedModel;
        private ObservedState observed = new ObservedState(null, 0, 0);
        private long permitEnd;

        private void finish() {
            lateModel = servedModel;
            for (int i = 0; i < 100; i++) {
                List.of(5, 6, 0, 3).forEach(this::play);
            }
            assertThat(servedModel).isEqualTo(desired.model());
            assertThat(state.inFlight()).isFalse();
        }

        private void play(int step) {
            switch (step) {
                case 0, 1 -> act();
                case 2 -> desired = desired(desired.version() + 1, (int) (now / SECOND % 3));
                case 3 -> end(true, true);
                case 4 -> end(false, true);
                case 5 -> now += 2 * SECOND;
                case 6 -> observed = new ObservedState(servedModel, 0, now);
                case 7 -> servedModel = lateModel;
                case 8 -> end(false, false);
                default -> state = state.withPermit(LoadPermit.denied(now, Duration.ofSeconds(1)));
            }
        }

        private void act() {
            OrderStep step = OrderReconciler.next(state, Optional.of(desired), observed, now);
            if (step instanceof RequestPermit) {
                state = state.withPermit(LoadPermit.granted(now, TERM));
                permitEnd = now + TERM.toNanos();
            } else if (step instanceof SendOrder send) {
                EngineOrder last = state.lastOrder();
                assertThat(send.order().fencingNumber())
                        .isGreaterThanOrEqualTo(last == null ? 0 : last.fencingNumber());
                assertThat(send.order().loadsWeights() && now >= permitEnd)
                        .as("load without a valid permit")
                        .isFalse();
                state = state.sent(send.order());
            }
        }

        /** Ends the order in flight; an order that had no effect yet may still take effect later. */
        private void end(boolean answered, boolean effect) {
            EngineOrder last = state.lastOrder();
            if (!state.inFlight() || last == null) {
                return;
            }
            if (effect) {
                servedModel = last.model();
            } else {
                lateModel = last.model();
            }
            state = answered ? state.succeeded(now) : state.failed(now);
        }

        private static DesiredState desired(long version, int model) {
            return new DesiredState(new DesiredModel("m" + model, "", "1", "both"), version, 1);
        }
    }
}
