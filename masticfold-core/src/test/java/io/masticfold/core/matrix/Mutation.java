package io.masticfold.core.matrix;

/** Lists the mechanisms that are switched off, one at a time, to show that the matrix notices their absence. */
enum Mutation {
    /** Hands a second arrival of an attempt to the gate under a new id. */
    AGENT_DEDUPE,
    /** Answers a seal of an attempt that has not arrived without recording the refusal. */
    SEAL_RECORDS_REFUSAL,
    /** Readdresses attempts and seals to the running incarnation of the agent. */
    INCARNATION_CHECK,
    /** Takes a write whose answer was lost for one that took effect. */
    CLAIM_READ_BACK,
    /** Takes every request body for the one that made the claim. */
    FINGERPRINT_CHECK,
    /** Overwrites claims whatever their version. */
    CLAIM_CONDITIONAL_UPDATE,
    /** Puts the object that arrives last in force, whatever its version. */
    CONFIG_VERSION_COMPARISON,
    /** Hides from the gate that an availability zone is out. */
    GATE_ZONE_CHECK,
    /** Hides from the gate that a target is leaving. */
    GATE_LEAVING_CHECK,
    /** Lets a cold target take its full load at once. */
    COLD_RAMP,
    /** Takes an attempt whose link was lost after it was written for one that did not run. */
    LINK_LOSS_UNKNOWN,
    /** Overwrites configuration objects whatever their version. */
    CONFIG_CONDITIONAL_UPDATE,
    /** Gives an outcome to the newest open attempt of the link. */
    OUTCOME_MATCHED_BY_ATTEMPT,
    /** Takes a cut stream for a finished one. */
    STREAM_END_MARK,
    /** Places parts of a stream in the order of their arrival. */
    STREAM_OFFSETS,
    /** Answers what the last error kind alone says about execution. */
    RAN_ACCOUNT,
    /** Lets a resumed agent take work before it has completed a round trip with an entry. */
    CONTACT_CHECK
}
