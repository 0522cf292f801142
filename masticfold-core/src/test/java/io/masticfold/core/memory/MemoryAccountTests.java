package io.masticfold.core.memory;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against memory that grows with slow services and callers, and against one workspace that takes all of it. */
final class MemoryAccountTests {

    private static final long MB = 1024 * 1024;
    private static final long BODY = 4 * MB;
    private static final int SMALL = 8 * 1024;

    /** The limit of a process with a heap of 120 MB and 32 MB of direct memory. */
    private final MemoryAccount account = new MemoryAccount(MemoryAccount.limit(120 * MB, 32 * MB));

    private static int begin(MemoryAccount account, String workspace, long bytes, int requests) {
        int admitted = 0;
        for (int i = 0; i < requests; i++) {
            if (account.admit(workspace, bytes)) {
                admitted++;
            }
        }
        return admitted;
    }

    @ParameterizedTest
    @CsvSource({"120, 32, 24", "120, 120, 60", "64, 1024, 32"})
    void limitExceedsTheHeapOrTheDirectMemory(long heap, long direct, long expected) {
        assertThat(MemoryAccount.limit(heap * MB, direct * MB)).isEqualTo(expected * MB);
    }

    /** Thirty bodies of 4 MB to a slow service held up all other callers. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 5, 20})
    void thirtyLargeBodiesHoldUpOtherWorkspaces(int others) {
        int large = begin(account, "large", BODY, 30);

        assertThat(large).isBetween(1, 5);
        for (int i = 0; i < others; i++) {
            assertThat(begin(account, "small-" + i, SMALL, 10)).isEqualTo(10);
        }
        assertThat(account.admit("large", BODY)).isFalse();
        assertThat(account.inUseBytes()).isLessThanOrEqualTo(account.limitBytes() * 3 / 4);
    }

    @Test
    void workspaceAboveItsEqualShareIsAdmittedBeforeOneBelowIt() {
        begin(account, "most", SMALL, Integer.MAX_VALUE / SMALL);

        assertThat(account.heldBytes("most")).isGreaterThan(account.limitBytes() / 3);
        long beforeOthers = account.heldBytes("most");
        int second = begin(account, "second", SMALL, Integer.MAX_VALUE / SMALL);
        assertThat(second).isPositive();
        assertThat(account.heldBytes("second")).isLessThan(beforeOthers);
        assertThat(account.admit("third", SMALL)).isTrue();
        assertThat(account.admit("most", SMALL)).isFalse();
    }

    @Test
    void loneRequestWithTheLargestBodyIsRejected() {
        assertThat(account.admit("w", BODY)).isTrue();
    }

    @Test
    void bodiesWithoutAnnouncedLengthExceedTheShareOfTheirWorkspace() {
        List<MemoryReservation> bodies = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            bodies.add(new MemoryReservation(account, "w"));
        }
        int refused = 0;
        for (int part = 1; part <= 16; part++) {
            for (MemoryReservation body : bodies) {
                refused += body.admit(part * BODY / 16) ? 0 : 1;
                assertThat(account.inUseBytes()).isLessThanOrEqualTo(account.limitBytes() / 2);
            }
        }

        assertThat(refused).isPositive();
        assertThat(account.admit("other", BODY / 2)).isTrue();
        account.release("other", BODY / 2);
        bodies.forEach(MemoryReservation::close);
        bodies.forEach(MemoryReservation::close);
        assertThat(account.inUseBytes()).isZero();
        assertThat(account.holders()).isZero();
        assertThat(account.errors()).isZero();
    }

    @Test
    void surplusReleaseMakesTheAccountNegativeOrTakesFromOthers() {
        account.add("a", 100);
        account.add("b", 50);

        account.release("b", 80);
        account.release("c", 10);
        account.release("a", -5);
        account.add("a", -5);

        assertThat(account.inUseBytes()).isEqualTo(100);
        assertThat(account.heldBytes("a")).isEqualTo(100);
        assertThat(account.errors()).isEqualTo(4);
    }

    @Test
    void sumOfTheWorkspacesDiffersFromTheTotal() {
        Random random = new Random(7);
        List<MemoryReservation> open = new ArrayList<>();
        for (int i = 0; i < 20_000; i++) {
            if (open.isEmpty() || random.nextInt(3) > 0) {
                open.add(new MemoryReservation(account, "w" + random.nextInt(5)));
            }
            MemoryReservation any = open.get(random.nextInt(open.size()));
            if (random.nextInt(3) == 0) {
                any.close();
                open.remove(any);
            } else {
                any.resize(random.nextInt(SMALL));
            }
        }

        assertThat(account.inUseBytes())
                .isEqualTo(open.stream().mapToLong(MemoryReservation::bytes).sum());
        open.forEach(MemoryReservation::close);
        assertThat(account.inUseBytes()).isZero();
        assertThat(account.errors()).isZero();
    }

    @Test
    void limitWithoutRoomIsAccepted() {
        assertThatThrownBy(() -> new MemoryAccount(0))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("limitBytes");
    }
}
