package io.masticfold.core.model;

import java.util.List;
import java.util.regex.Pattern;

/**
 * Describes the service agreed with the customer of one workspace; its limits, priority and deadlines follow from it.
 *
 * @param name name of the contract
 * @param workspace name of the workspace that the contract applies to
 * @param keySha256 SHA-256 of the caller's key, 64 lower-case hexadecimal digits
 * @param windowMillis agreed maximum time from a request to its complete response, in milliseconds
 * @param worth business value of a request that is answered in time
 * @param priority priority of the requests, 0 (lowest) to 9
 * @param requestsPerSecond agreed rate of requests over all entries
 * @param burst number of requests above the rate that may arrive at once
 * @param maxInFlight maximum number of requests in progress at one entry
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

    /** Maximum window, in milliseconds. */
    public static final int MAX_WINDOW_MILLIS = 600_000;

    private static final Pattern SHA_256 = Pattern.compile("[0-9a-f]{64}");

    /** Validates the specification. */
    public Contract {
        SpecChecks.checkName("contract", name);
        SpecChecks.checkName("workspace", workspace);
        if (!SHA_256.matcher(keySha256).matches()) {
            throw new IllegalArgumentException(
                    "keySha256 must be 64 lower-case hexadecimal digits: '" + keySha256 + "'");
        }
        SpecChecks.checkRange("windowMillis", windowMillis, 1, MAX_WINDOW_MILLIS);
        SpecChecks.checkPositive("worth", worth);
        SpecChecks.checkRange("priority", priority, 0, MAX_PRIORITY);
        SpecChecks.checkPositive("requestsPerSecond", requestsPerSecond);
        SpecChecks.checkRange("burst", burst, 1, Integer.MAX_VALUE);
        SpecChecks.checkRange("maxInFlight", maxInFlight, 1, Integer.MAX_VALUE);
        pipelines = List.copyOf(pipelines);
    }

    @Override
    public ObjectKind kind() {
        return ObjectKind.CONTRACT;
    }
}
