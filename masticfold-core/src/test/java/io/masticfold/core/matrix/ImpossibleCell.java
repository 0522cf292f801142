package io.masticfold.core.matrix;

import java.util.Arrays;
import java.util.Optional;

/** Combinations of step, fault and scenario that cannot occur, with the reason. */
enum ImpossibleCell {
    NO_MESSAGE("no message between an entry and an agent is in flight in this step") {
        @Override
        boolean covers(Cell cell) {
            return !cell.step().hasMessagesInFlight() && cell.faults().stream().anyMatch(Fault::affectsMessages);
        }
    },
    NO_CLAIM("a pipeline of idempotent stages writes no claim") {
        @Override
        boolean covers(Cell cell) {
            return cell.step() == Step.CLAIM && cell.scenario().idempotent();
        }
    },
    NO_STREAM("the last stage of the pipeline does not stream") {
        @Override
        boolean covers(Cell cell) {
            return cell.step() == Step.STREAM && !cell.scenario().idempotent();
        }
    };

    private final String reason;

    ImpossibleCell(String reason) {
        this.reason = reason;
    }

    abstract boolean covers(Cell cell);

    String reason() {
        return reason;
    }

    static Optional<ImpossibleCell> of(Cell cell) {
        return Arrays.stream(values()).filter(entry -> entry.covers(cell)).findFirst();
    }
}
