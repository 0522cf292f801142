package io.masticfold.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Guards against late copies of responses that are taken for new ones, and against memory that grows without bound. */
final class DeliveredIdentitiesTests {

    private static final int LENGTH = 27;

    private final DeliveredIdentities delivered = new DeliveredIdentities();

    private static String identity(int number) {
        return String.format("%0" + LENGTH + "d", number);
    }

    @Property
    void everyResponseIsRememberedUntilTheConnectionIsFull(
            @ForAll @IntRange(max = 2_000) int responses, @ForAll @IntRange(max = 2_000) int copied) {
        DeliveredIdentities all = new DeliveredIdentities();
        int added = 0;
        while (added < responses && !all.full()) {
            assertThat(all.add(List.of(identity(added++)))).isTrue();
        }
        assertThat(all.add(List.of(identity(copied)))).isEqualTo(copied >= added);
    }

    @Test
    void memoryIsFullAtItsBound() {
        int added = 0;
        while (!delivered.full()) {
            delivered.add(List.of(identity(added++)));
        }

        assertThat((long) added * LENGTH)
                .isBetween(
                        (long) DeliveredIdentities.MAX_CHARACTERS, DeliveredIdentities.MAX_CHARACTERS + (long) LENGTH);
    }

    @Test
    void identityThatIsRepeatedWithinAResponseIsNotNew() {
        assertThat(delivered.add(List.of("a", "b", "a"))).isFalse();
        assertThat(delivered.add(List.of())).isTrue();
        assertThat(delivered.add(List.of("c"))).isTrue();
        assertThat(delivered.add(List.of("d", "b"))).isFalse();
    }
}
