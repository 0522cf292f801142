package io.masticfold.cli.bench;

import io.masticfold.cli.dev.LocalDeployment;
import io.masticfold.core.model.Zone;
import io.masticfold.core.model.ZoneState;
import io.masticfold.platform.json.JsonSpecCodec;
import io.masticfold.testkit.object.ObjectApiFault;
import io.masticfold.testkit.targets.TargetFault;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Collectors;

/** Lists the scenarios of the bench. Rates are given as a multiple of the engines' capacity. */
enum Scenario {
    STEADY("steady", 0, 0) {
        @Override
        List<Phase> phases() {
            return List.of(even(2, 0.8), even(10, 0.8));
        }
    },
    MONTH_END("month-end", 0, 0) {
        @Override
        List<Phase> phases() {
            return List.of(even(2, 0.3), ramp(4, 3), even(6, 3), even(2, 0.3));
        }
    },
    COLD_START("cold-start", BenchSizes.COLD_MILLIS, 0) {
        @Override
        List<Phase> phases() {
            return List.of(even(10, 0.5));
        }
    },
    WARM_TO_COLD("warm-to-cold", 0, 4) {
        @Override
        List<Phase> phases() {
            return List.of(even(12, 0.5));
        }

        @Override
        List<ScenarioEvent> events() {
            return List.of(new ScenarioEvent(4, deployment -> {
                fault(deployment, "engine-0", TargetFault.TURN_COLD_MILLIS, BenchSizes.COLD_MILLIS);
                fault(deployment, "engine-1", TargetFault.TURN_COLD_MILLIS, BenchSizes.COLD_MILLIS);
            }));
        }
    },
    SLOW_TARGET("slow-target", 0, 4) {
        @Override
        List<Phase> phases() {
            return List.of(even(14, 0.6));
        }

        @Override
        List<ScenarioEvent> events() {
            return List.of(
                    new ScenarioEvent(4, deployment -> fault(deployment, "engine-2", TargetFault.SLOW_PERCENT, 1_000)));
        }
    },
    ZONE_OUT_IN("zone-out-in", 0, 0) {
        @Override
        List<Phase> phases() {
            return List.of(even(14, 0.5));
        }

        @Override
        List<ScenarioEvent> events() {
            return List.of(
                    new ScenarioEvent(4, deployment -> zone(deployment, ZoneState.OUT)),
                    new ScenarioEvent(9, deployment -> zone(deployment, ZoneState.IN)));
        }
    },
    STORE_OUTAGE("store-outage", 0, 0) {
        @Override
        List<Phase> phases() {
            return List.of(even(14, 0.5));
        }

        @Override
        double paymentShare() {
            return 0.1;
        }

        @Override
        List<ScenarioEvent> events() {
            return List.of(new ScenarioEvent(
                    4, deployment -> deployment.objectApi().fault(ObjectApiFault.REJECT_MILLIS, OUTAGE_MILLIS)));
        }
    },
    STAGE_BURST("stage-burst", 0, 4) {
        @Override
        List<Phase> phases() {
            return List.of(even(12, 0.5));
        }

        @Override
        List<ScenarioEvent> events() {
            return List.of(
                    new ScenarioEvent(4, deployment -> burst(deployment, BenchSizes.HELPER_SLOTS - 1)),
                    new ScenarioEvent(8, deployment -> burst(deployment, 0)));
        }
    },
    NOISY_WORKSPACE("noisy-workspace", 0, 0) {
        @Override
        List<Phase> phases() {
            double each = BenchSizes.CAPACITY_PER_SECOND * 0.25;
            Map<BenchWorkspace, Double> rates =
                    Map.of(BenchWorkspace.GOLD, each, BenchWorkspace.SILVER, each, BenchWorkspace.BRONZE, each * 10);
            return List.of(even(2, 0.75), new Phase(10, rates, false));
        }

        @Override
        double contractRate(BenchWorkspace _workspace) {
            return BenchSizes.CAPACITY_PER_SECOND * 0.28;
        }
    },
    OVERHEAD("overhead", 0, 0) {
        @Override
        List<Phase> phases() {
            return List.of();
        }
    };

    static final long OUTAGE_MILLIS = 6_000;

    private static final double UNLIMITED_PER_SECOND = 100_000;

    private final String code;
    private final long coldMillis;
    private final double onsetSeconds;

    Scenario(String code, long coldMillis, double onsetSeconds) {
        this.code = code;
        this.coldMillis = coldMillis;
        this.onsetSeconds = onsetSeconds;
    }

    abstract List<Phase> phases();

    List<ScenarioEvent> events() {
        return List.of();
    }

    double paymentShare() {
        return 0;
    }

    double contractRate(BenchWorkspace _workspace) {
        return UNLIMITED_PER_SECOND;
    }

    String code() {
        return code;
    }

    /** Returns the time the engines take to warm up at the start, in milliseconds; 0 starts them warm. */
    long coldMillis() {
        return coldMillis;
    }

    /** Returns when the fault sets in, in seconds after the start; 0 if the scenario has none. */
    double onsetSeconds() {
        return onsetSeconds;
    }

    static Optional<Scenario> ofCode(String code) {
        return Arrays.stream(values())
                .filter(scenario -> scenario.code.equals(code))
                .findFirst();
    }

    private static Phase even(double seconds, double load) {
        return phase(seconds, load, false);
    }

    private static Phase ramp(double seconds, double load) {
        return phase(seconds, load, true);
    }

    private static Phase phase(double seconds, double load, boolean ramp) {
        double each = BenchSizes.CAPACITY_PER_SECOND * load / BenchWorkspace.values().length;
        Map<BenchWorkspace, Double> rates = Arrays.stream(BenchWorkspace.values())
                .collect(Collectors.toMap(workspace -> workspace, _workspace -> each));
        return new Phase(seconds, rates, ramp);
    }

    private static void fault(LocalDeployment deployment, String target, TargetFault fault, long value) {
        Objects.requireNonNull(deployment.targets().get(target), target).fault(fault, value);
    }

    private static void burst(LocalDeployment deployment, int slots) {
        for (int i = 0; i < BenchSizes.HELPERS_PER_POOL; i++) {
            fault(deployment, "retrieve-" + i, TargetFault.BURST_SLOTS, slots);
        }
    }

    private static void zone(LocalDeployment deployment, ZoneState state) {
        Zone zone = new Zone(BenchDeployment.zone(0), "bench", state);
        deployment.objectApi().put("zone", zone.name(), new JsonSpecCodec().encode(zone));
    }
}
