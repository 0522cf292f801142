package io.masticfold.core.matrix;

/** Mechanisms that are disabled one at a time to verify that the fault matrix detects their absence. */
enum Mutation {
    /** Passes a redelivered attempt to the gate under a new id. */
    AGENT_DEDUPE,
    /** Answers a seal of an attempt that has not arrived without recording the refusal. */
    SEAL_RECORDS_REFUSAL,
    /** Replaces the agent incarnation in dispatches and seals by the running one. */
    INCARNATION_CHECK,
    /** Treats a claim write whose answer was lost as applied, without reading the claim back. */
    CLAIM_READ_BACK,
    /** Treats every request body as the one that the claim was written for. */
    FINGERPRINT_CHECK,
    /** Overwrites claims regardless of their version. */
    CLAIM_CONDITIONAL_UPDATE,
    /** Applies the configuration object that arrives last, regardless of its version. */
    CONFIG_VERSION_COMPARISON,
    /** Hides from the gate that an availability zone is out of service. */
    GATE_ZONE_CHECK,
    /** Hides from the gate that a target is leaving. */
    GATE_LEAVING_CHECK,
    /** Sets the cold concurrency of a target to its maximum concurrency. */
    COLD_RAMP,
    /** Reports an attempt as not run if its link was lost after the attempt was written. */
    LINK_LOSS_UNKNOWN,
    /** Overwrites configuration objects regardless of their version. */
    CONFIG_CONDITIONAL_UPDATE,
    /** Delivers an outcome to the most recent open attempt of the link. */
    OUTCOME_MATCHED_BY_ATTEMPT,
    /** Treats an interrupted stream as complete. */
    STREAM_END_MARK,
    /** Orders the chunks of a stream by arrival instead of by offset. */
    STREAM_OFFSETS,
    /** Derives what an error answer says about execution from the last error kind alone. */
    RAN_ACCOUNT,
    /** Lets a resumed agent accept work before it has completed a round trip with an entry. */
    CONTACT_CHECK
}
