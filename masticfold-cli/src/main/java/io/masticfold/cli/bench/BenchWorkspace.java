package io.masticfold.cli.bench;

import io.masticfold.core.attempt.Payload;
import io.masticfold.core.model.Contract;
import java.util.List;

/** Lists the workspaces of the bench, from the most to the least worth per request. */
enum BenchWorkspace {
    GOLD("gold", 10, 8),
    SILVER("silver", 3, 5),
    BRONZE("bronze", 1, 2);

    private final String code;
    private final double worth;
    private final int priority;

    BenchWorkspace(String code, double worth, int priority) {
        this.code = code;
        this.worth = worth;
        this.priority = priority;
    }

    String code() {
        return code;
    }

    double worth() {
        return worth;
    }

    String key() {
        return "bench-key-" + code;
    }

    Contract contract(double perSecond) {
        return new Contract(
                code,
                code,
                Payload.ofUtf8(key()).sha256(),
                BenchSizes.WINDOW_MILLIS,
                worth,
                priority,
                perSecond,
                (int) Math.max(1, perSecond / 2),
                100_000,
                List.of("answer", "read", "pay"));
    }
}
