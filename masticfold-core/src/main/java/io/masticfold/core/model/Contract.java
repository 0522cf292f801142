package io.masticfold.core.model;

import java.util.List;
import java.util.regex.Pattern;

/**
 * Holds what was agreed with the customer of one workspace. Every limit, priority and deadline follows from it.
 *
 * @param name name of the contract
 * @param workspace workspace the contract is for
 * @param keySha256 SHA-256 of the caller's key, 64 lower-case hexadecimal digits
 * @param windowMillis agreed time from request to whole answer, in milliseconds
 * @param worth business worth of a request answered in time
 * @param priority 0 (lowest) to 9
 * @param requestsPerSecond agreed rate over all entries
 * @param burst requests that may arrive at once above the rate
 * @param maxInFlight requests that may be in progress at one entry
 * @param pipelines names of the pipelines the workspace may call
 */
public record Contract(
        String name,
        String workspace,
        String keySha256,
        int windowMillis,
        double worth,
        int priority,
        double requestsPerSecond,
        int burst,
        int maxInFlight,
        List<String> pipelines)
        implements ConfigSpec {

    /** Highest priority. */
    public static final int MAX_PRIORITY = 9;

    /** Longest window, in milliseconds. */
    public static final int MAX_WINDOW_MILLIS = 600_000;

    private static final Pattern SHA_256 = Pattern.compile("[0-9a-f]{64}");

    /** Checks the ranges. */
    public Contract {
        ModelSupport.checkName("contract", name);
        ModelSupport.checkName("workspace", workspace);
        if (!SHA_256.matcher(keySha256).matches()) {
            throw new IllegalArgumentException(
                    "keySha256 must be 64 lower-case hexadecimal digits: '" + keySha256 + "'");
        }
        ModelSupport.checkRange("windowMillis", windowMillis, 1, MAX_WINDOW_MILLIS);
        ModelSupport.checkPositive("worth", worth);
        ModelSupport.checkRange("priority", priority, 0, MAX_PRIORITY);
        ModelSupport.checkPositive("requestsPerSecond", requestsPerSecond);
        ModelSupport.checkRange("burst", burst, 1, Integer.MAX_VALUE);
        ModelSupport.checkRange("maxInFlight", maxInFlight, 1, Integer.MAX_VALUE);
        pipelines = List.copyOf(pipelines);
    }

    @Override
    public ObjectKind kind() {
        return ObjectKind.CONTRACT;
    }
}
