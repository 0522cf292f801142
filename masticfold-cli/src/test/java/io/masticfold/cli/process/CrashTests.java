package io.masticfold.cli.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.testkit.object.ObjectApiFault;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class CrashTests extends AbstractScenarioTests {

    /** Guards against answers that go to another request and payments that run twice, over separate processes. */
    @Test
    void servesRequests() throws Exception {
        for (int i = 0; i < 20; i++) {
            EntryProcess entry = deployment().entry(i % 2);
            Reply question = Caller.call(entry, "question", "question-" + i);
            assertThat(question.ok()).as(question.toString()).isTrue();
            assertThat(question.belongs()).isTrue();
            Reply payment = Caller.call(entry, "payment", "payment-" + i);
            assertThat(payment.ok()).as(payment.toString()).isTrue();
            assertThat(payment.belongs()).isTrue();
            assertThat(deployment().payments("payment-" + i)).isEqualTo(1);
        }
    }

    /** Guards against a payment that runs again when the caller retries through the other entry. */
    @Test
    void retriesThroughAnotherEntryWhenOneDiesInAPayment() throws Exception {
        slowPayments();
        CompletableFuture<Optional<Reply>> first = payAsync("pay-1");
        awaitStarted("pay-1");
        deployment().entry(0).process().kill();
        assertThat(first.get(20, TimeUnit.SECONDS)).isEmpty();
        Reply last = Caller.payUntilFinal(List.of(deployment().entry(1)), "pay-1");
        assertThat(last.ok()).as(last.toString()).isTrue();
        assertThat(last.belongs()).isTrue();
        assertThat(deployment().payments("pay-1")).isEqualTo(1);
    }

    /** Guards against a payment that is called not run, or runs again, after its agent died with the result. */
    @Test
    void tellsThatTheOutcomeIsUnknownWhenTheAgentDies() throws Exception {
        slowPayments();
        CompletableFuture<Optional<Reply>> first = payAsync("pay-1");
        awaitStarted("pay-1");
        String target = deployment().target("pay-a").ran("pay-1").isEmpty() ? "pay-b" : "pay-a";
        deployment().agent(target).process().kill();
        Reply reply = first.get(20, TimeUnit.SECONDS).orElseThrow();
        assertThat(reply.errorKind()).isIn("outcome_unknown", "link_lost");
        assertThat(reply.effects()).isEqualTo("unknown");
        deployment().agent(target).process().restart();
        Reply last = Caller.payUntilFinal(deployment().entries(), "pay-1");
        assertThat(last.errorKind()).isEqualTo("outcome_unknown");
        assertThat(deployment().payments("pay-1")).isEqualTo(1);
        Reply question = Caller.call(deployment().entry(1), "question", "question-1");
        assertThat(question.ok()).as(question.toString()).isTrue();
    }

    /** Guards against an outage of the object API that stops idempotent work, or payments without a claim. */
    @Test
    void servesIdempotentWorkWithoutTheObjectApi() throws Exception {
        deployment().objectApi().process().freeze();
        try {
            for (int i = 0; i < 10; i++) {
                Reply payment = Caller.call(deployment().entry(i % 2), "payment", "pay-" + i);
                assertThat(payment.errorKind()).as(payment.toString()).isEqualTo("claim_store_unavailable");
                assertThat(payment.effects()).isEqualTo("no");
                assertThat(payment.retryAfter()).isTrue();
                assertThat(deployment().payments("pay-" + i)).isZero();
                Reply question = Caller.call(deployment().entry(i % 2), "question", "question-" + i);
                assertThat(question.ok()).as(question.toString()).isTrue();
            }
        } finally {
            deployment().objectApi().process().resume();
        }
        Reply last = Caller.payUntilFinal(deployment().entries(), "pay-0");
        assertThat(last.ok()).as(last.toString()).isTrue();
        assertThat(deployment().payments("pay-0")).isEqualTo(1);
    }

    /** Guards against lost answers of claim writes that lead to a second run or to a payment that never settles. */
    @Test
    void settlesPaymentsWhenTheObjectApiLosesAnswers() throws Exception {
        for (int i = 0; i < 8; i++) {
            ObjectApiFault fault = i % 2 == 0 ? ObjectApiFault.LOSE_AFTER_EFFECT : ObjectApiFault.LOSE_BEFORE_EFFECT;
            deployment().objectApi().fault(fault, 1);
            Reply last = Caller.payUntilFinal(deployment().entries(), "pay-" + i);
            assertThat(last.ok()).as(last.toString()).isTrue();
            assertThat(deployment().payments("pay-" + i)).isEqualTo(1);
            assertThat(deployment().objectApi().pending(fault)).isZero();
        }
    }
}
