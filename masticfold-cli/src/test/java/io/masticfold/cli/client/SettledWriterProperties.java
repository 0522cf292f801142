package io.masticfold.cli.client;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collections;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;

class SettledWriterProperties {

    private static final String OURS = "ours";

    /**
     * Guards against an outcome that contradicts what happened in the store: accepted without effect, refused with an
     * effect, or a change that takes effect twice.
     */
    @Property(seed = "20261204", tries = 500)
    void outcomeAgreesWithTheStore(@ForAll @Size(max = 6) List<FakeObjectAccess.Fault> faults) throws Exception {
        FakeObjectAccess objects = new FakeObjectAccess();
        faults.forEach(objects::next);

        WriteOutcome outcome = new SettledWriter(objects).write("zone", "a", 0, OURS, "{}");

        int effects = Collections.frequency(objects.effects(), OURS);
        assertThat(effects).isLessThanOrEqualTo(1);
        if (outcome instanceof WriteOutcome.Accepted) {
            assertThat(effects).isEqualTo(1);
        } else if (!(outcome instanceof WriteOutcome.Unknown)) {
            assertThat(effects).isZero();
        }
    }
}
