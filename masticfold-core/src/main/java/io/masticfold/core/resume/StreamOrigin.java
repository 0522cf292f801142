package io.masticfold.core.resume;

/**
 * Holds where a stream began.
 *
 * @param attempt id of the caller's attempt that brought its first event
 * @param pool name of the pool
 * @param version software version of the target that wrote the first event
 * @param nanos monotonic time of the first event, in nanoseconds
 */
public record StreamOrigin(String attempt, String pool, String version, long nanos) {

    /** Validates the names. */
    public StreamOrigin {
        if (attempt.isEmpty() || version.isEmpty()) {
            throw new IllegalArgumentException(
                    "attempt and version must not be empty: '" + attempt + "', '" + version + "'");
        }
    }
}
