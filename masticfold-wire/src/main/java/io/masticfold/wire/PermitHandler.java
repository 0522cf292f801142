package io.masticfold.wire;

import java.util.function.Consumer;

/** Decides on weight-store permits at an entry. Called on Netty event loops; implementations must not block. */
@FunctionalInterface
public interface PermitHandler {

    /** Denies all permits, as an entry that does not hold the weight-store lease must. */
    PermitHandler DENY_ALL = (_target, _bytes, reply) -> reply.accept(PermitDecision.DENIED);

    /**
     * Handles a permit request.
     *
     * @param target target that requests to load weights
     * @param bytes number of bytes to load
     * @param reply receives the decision; called exactly once, on any thread
     */
    void request(String target, long bytes, Consumer<PermitDecision> reply);
}
