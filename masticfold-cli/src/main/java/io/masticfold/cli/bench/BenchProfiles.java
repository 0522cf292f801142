package io.masticfold.cli.bench;

import io.masticfold.cli.dev.StandInProfiles;
import io.masticfold.core.model.Target;
import io.masticfold.core.model.TargetKind;
import io.masticfold.testkit.targets.TargetProfile;

/** Gives the stand-ins of the bench their service times. */
final class BenchProfiles implements StandInProfiles {

    private final long seed;
    private final long coldMillis;

    BenchProfiles(long seed, long coldMillis) {
        this.seed = seed;
        this.coldMillis = coldMillis;
    }

    @Override
    public TargetProfile profile(Target target) {
        boolean engine = target.type() == TargetKind.ENGINE;
        return TargetProfile.of(target.name(), target.type())
                .withSlots(target.maxConcurrency(), BenchSizes.QUEUE_LIMIT)
                .withCold(BenchSizes.COLD_SLOTS, engine ? coldMillis : 0)
                .withService(
                        engine ? BenchSizes.ENGINE_MILLIS : BenchSizes.HELPER_MILLIS,
                        BenchSizes.TOKENS,
                        seed * 31 + target.name().hashCode())
                .withReports(BenchSizes.LAG_MILLIS, false);
    }
}
