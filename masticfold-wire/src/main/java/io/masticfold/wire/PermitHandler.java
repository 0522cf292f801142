package io.masticfold.wire;

import java.util.function.Consumer;

/** Decides about weight-store permits at an entry. Called on the Netty loops; implementations must not block. */
@FunctionalInterface
public interface PermitHandler {

    /** Denies every permit, as an entry without the weight-store lease does. */
    PermitHandler DENY = (_target, _bytes, reply) -> reply.accept(PermitGrant.DENIED);

    /**
     * Answers a request.
     *
     * @param target target that wants to load weights
     * @param bytes number of bytes to load
     * @param reply takes the answer, exactly once, on any thread
     */
    void request(String target, long bytes, Consumer<PermitGrant> reply);
}
