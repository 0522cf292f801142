package io.masticfold.core.resume;

import java.util.Optional;
import java.util.Set;

/**
 * Decides at which software version a stream goes on that its caller takes up. Where it began is known, or follows from
 * the fact that a single version has served; otherwise it is not resumed.
 */
public final class ResumptionPolicy {

    private ResumptionPolicy() {}

    /**
     * Returns the version that the stream requires.
     *
     * @param origin where the stream began; empty if it is not known here
     * @param pool pool to which the stream is sent
     * @param history versions that have served within the time for which a stream can be taken up
     * @param complete whether the history covers that time and is up to date
     */
    public static VersionRequirement require(
            Optional<StreamOrigin> origin, String pool, VersionHistory history, boolean complete) {
        if (origin.isPresent()) {
            return origin.get().pool().equals(pool)
                    ? VersionRequirement.exactly(origin.get().version())
                    : VersionRequirement.UNKNOWN;
        }
        Set<String> versions = history.versions(pool);
        return complete && versions.size() == 1
                ? VersionRequirement.exactly(versions.iterator().next())
                : VersionRequirement.UNKNOWN;
    }
}
