package io.masticfold.cli.dev;

import io.masticfold.core.model.Target;
import io.masticfold.core.model.TargetKind;
import io.masticfold.testkit.targets.TargetProfile;

/** Chooses the behaviour of a target's stand-in. */
@FunctionalInterface
public interface StandInProfiles {

    /** Returns the profile of a target's stand-in. */
    TargetProfile profile(Target target);

    /** Returns profiles whose service times suit the kind of target and whose slots match the target's limits. */
    static StandInProfiles byKind() {
        return target -> TargetProfile.of(target.name(), target.type())
                .withSlots(target.maxConcurrency(), target.queueLimit())
                .withCold(target.coldConcurrency(), COLD_MILLIS)
                .withService(meanMillis(target.type()), TOKENS, target.name().hashCode())
                .withReports(LAG_MILLIS, target.checksFencing());
    }

    /** Time from the first run to warm, in milliseconds. */
    long COLD_MILLIS = 500;

    /** Tokens in a streamed answer. */
    int TOKENS = 20;

    /** Age that a load report may reach, in milliseconds. */
    long LAG_MILLIS = 200;

    private static long meanMillis(TargetKind kind) {
        return switch (kind) {
            case ENGINE -> 40;
            case STAGE -> 5;
            case SERVICE -> 8;
        };
    }
}
