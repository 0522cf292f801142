package io.masticfold.core.stage;

/**
 * Holds what one gateway knows of a stage server when it places a call.
 *
 * @param id id of the server
 * @param home whether this gateway is the one that mainly uses the server
 * @param calls own calls in progress there
 * @param remainingMillis expected time until the own calls there are done, in milliseconds
 * @param slowness measured duration of calls relative to the expected one
 * @param roomBytes bytes of results that the server can still take
 * @param refusing whether it refused a call a moment ago
 */
public record StageServerLoad(
        String id,
        boolean home,
        int calls,
        double remainingMillis,
        double slowness,
        long roomBytes,
        boolean refusing) {}
