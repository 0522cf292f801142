package io.masticfold.cli.bench;

import io.masticfold.core.routing.RoutingStrategy;
import io.masticfold.entry.EntryOptions;
import java.util.Arrays;
import java.util.Optional;

/** Lists the policies the bench compares. */
enum BenchPolicy {
    MASTICFOLD("masticfold", EntryOptions.DEFAULT),
    ROUND_ROBIN("round-robin", new EntryOptions(RoutingStrategy.ROUND_ROBIN, false)),
    LEAST_IN_FLIGHT("least-in-flight", new EntryOptions(RoutingStrategy.LEAST_IN_FLIGHT, false)),
    NO_SHEDDING("no-shedding", new EntryOptions(RoutingStrategy.EXPECTED_TIME, false));

    private final String code;
    private final EntryOptions options;

    BenchPolicy(String code, EntryOptions options) {
        this.code = code;
        this.options = options;
    }

    String code() {
        return code;
    }

    EntryOptions options() {
        return options;
    }

    static Optional<BenchPolicy> ofCode(String code) {
        return Arrays.stream(values())
                .filter(policy -> policy.code.equals(code))
                .findFirst();
    }
}
