package io.masticfold.cli.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class InterruptionTests extends AbstractScenarioTests {

    private static final List<String> PAYMENT_TARGETS = List.of("pay-a", "pay-b");

    /** Guards against a payment that runs again, or whose kept result is lost, when its link breaks while it runs. */
    @Test
    void settlesAPaymentWhoseLinkIsCut() throws Exception {
        slowPayments();
        CompletableFuture<Optional<Reply>> first = payAsync("pay-1");
        awaitStarted("pay-1");
        PAYMENT_TARGETS.forEach(target -> deployment().link(target).cut());
        Reply reply = first.get(20, TimeUnit.SECONDS).orElseThrow();
        assertThat(reply.ok() || !reply.effects().equals("no"))
                .as(reply.toString())
                .isTrue();
        Reply last = Caller.payUntilResult(deployment().entries(), "pay-1");
        assertThat(last.belongs()).as(last.toString()).isTrue();
        assertThat(deployment().payments("pay-1")).isEqualTo(1);
    }

    /** Guards against a payment that a frozen agent starts late although it was settled as not run elsewhere. */
    @Test
    void settlesAPaymentWhoseAgentWasFrozen() throws Exception {
        for (String target : PAYMENT_TARGETS) {
            deployment().agent(target).process().freeze();
        }
        Reply reply;
        try {
            reply = payAsync("pay-1").get(20, TimeUnit.SECONDS).orElseThrow();
        } finally {
            for (String target : PAYMENT_TARGETS) {
                deployment().agent(target).process().resume();
            }
        }
        assertThat(reply.ok()).as(reply.toString()).isFalse();
        Reply last = Caller.payUntilResult(deployment().entries(), "pay-1");
        assertThat(last.belongs()).as(last.toString()).isTrue();
        assertThat(deployment().payments("pay-1")).isEqualTo(1);
    }

    /** Guards against a payment that both a frozen entry, once resumed, and the entry of the retry run. */
    @Test
    void settlesAPaymentWhoseEntryWasFrozen() throws Exception {
        slowPayments();
        CompletableFuture<Optional<Reply>> first = payAsync("pay-1");
        awaitStarted("pay-1");
        deployment().entry(0).process().freeze();
        Reply retried;
        try {
            retried = Caller.payUntilResult(List.of(deployment().entry(1)), "pay-1");
        } finally {
            deployment().entry(0).process().resume();
        }
        assertThat(retried.belongs()).as(retried.toString()).isTrue();
        Reply reply = first.get(20, TimeUnit.SECONDS).orElseThrow();
        assertThat(reply.ok() || !reply.effects().equals("no"))
                .as(reply.toString())
                .isTrue();
        assertThat(deployment().payments("pay-1")).isEqualTo(1);
    }
}
