package io.masticfold.gateway.rollout;

import io.masticfold.core.directory.TargetRecord;
import java.util.function.Predicate;

/**
 * Which targets of a pool a request may go to, by their software version.
 *
 * @param permitted targets that may be used at all
 * @param preferred those of them that are used if one can take the request
 */
public record VersionFilter(Predicate<TargetRecord> permitted, Predicate<TargetRecord> preferred) {

    /** Permits all targets alike. */
    public static final VersionFilter ALL = new VersionFilter(_target -> true, _target -> true);
}
