package io.masticfold.cli.process;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class FrozenAgentTests extends AbstractScenarioTests {

    /** Guards against idempotent work that waits for a frozen agent instead of going to the other target. */
    @Test
    void servesQuestionsWhileAnAgentIsFrozen() throws Exception {
        deployment().agent("engine-a").process().freeze();
        try {
            for (int i = 0; i < 20; i++) {
                Reply question = Caller.call(deployment().entry(i % 2), "question", "question-" + i);
                assertThat(question.ok()).as(question.toString()).isTrue();
                assertThat(question.belongs()).isTrue();
            }
        } finally {
            deployment().agent("engine-a").process().resume();
        }
    }
}
