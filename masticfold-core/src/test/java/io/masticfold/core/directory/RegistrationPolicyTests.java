package io.masticfold.core.directory;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.directory.RegistrationPolicy.Action;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against entries that keep the address of a process that is gone, and against two processes that fight. */
final class RegistrationPolicyTests {

    @ParameterizedTest
    @CsvSource({
        // same address, generation of the entry, own generation
        "true, 0, 0, KEEP",
        "true, 3, 0, KEEP",
        "true, 3, 2, KEEP",
        "false, 0, 0, REPLACE",
        "false, 5, 0, REPLACE",
        "false, 1, 2, REPLACE",
        "false, 2, 2, YIELD",
        "false, 3, 2, YIELD",
    })
    void nameBelongsToTheLastProcess(boolean sameAddress, long listed, long own, Action action) {
        assertThat(RegistrationPolicy.decide(sameAddress, listed, own)).isEqualTo(action);
    }

    /** Several processes hold one name and see its entry in any order; in the end it is that of the last to start. */
    @Property
    void processesOfOneNameComeToRest(
            @ForAll @IntRange(min = 1, max = 5) int processes,
            @ForAll @Size(max = 60) List<@IntRange(max = 4) Integer> turns) {
        long[] own = new long[processes];
        int holder = -1;
        long listed = RegistrationPolicy.NO_GENERATION;
        for (int process = 0; process < processes; process++) {
            listed = RegistrationPolicy.next(listed, own[process]);
            own[process] = listed;
            holder = process;
        }
        for (int turn : turns) {
            int process = turn % processes;
            Action action = RegistrationPolicy.decide(holder == process, listed, own[process]);
            if (action == Action.REPLACE) {
                listed = RegistrationPolicy.next(listed, own[process]);
                own[process] = listed;
                holder = process;
            }
        }
        assertThat(holder).isEqualTo(processes - 1);
    }
}
