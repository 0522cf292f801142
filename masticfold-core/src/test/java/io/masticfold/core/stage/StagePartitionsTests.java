package io.masticfold.core.stage;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a gateway that schedules too many servers, and servers that change their owner needlessly. */
final class StagePartitionsTests {

    @ParameterizedTest
    @CsvSource({"0, 1", "1, 1", "4, 1", "5, 2", "28, 7", "33, 9", "160, 40"})
    void thePartitionsGrowWithThePool(int servers, int count) {
        assertThat(StagePartitions.count(servers)).isEqualTo(count);
    }

    /** One gateway that calls many servers falls behind on a small machine, and its calls then seem slow. */
    @ParameterizedTest
    @CsvSource({"1", "2", "7", "40"})
    void noPartitionIsMuchLargerThanTheAverage(int count) {
        int servers = count * StagePartitions.MAX_SERVERS;
        int[] sizes = new int[count];
        IntStream.range(0, servers).forEach(i -> sizes[StagePartitions.partitionOf("i-" + i * 7919, count)]++);

        assertThat(Arrays.stream(sizes)).allMatch(size -> size <= 3 * StagePartitions.MAX_SERVERS);
    }

    @Test
    void oneMorePartitionMovesServersOnlyToIt() {
        for (int i = 0; i < 200; i++) {
            int before = StagePartitions.partitionOf("i-" + i, 4);
            int after = StagePartitions.partitionOf("i-" + i, 5);
            assertThat(after).isIn(before, 4);
        }
    }
}
