package io.masticfold.core.invariant;

/** Lists the invariants of the system, each with its requirement in one sentence. */
public enum Invariant {
    RESULT_ONCE("No stage result is lost, doubled or given to another request."),
    COLD_START_BOUND("A target in cold start receives no more work than it can bear."),
    ZONE_OUT("An availability zone taken out by operators receives no new work after 2 s."),
    WHOLE_ANSWER(
            "Each caller gets the whole answer to its own request, even when parts arrive late or reordered, and gets"
                    + " exactly one answer by its deadline."),
    NOT_RUN_TRUE("An answer that says \"not run\" is true."),
    AT_MOST_ONCE("A non-idempotent request runs at most once."),
    TARGET_LEAVING("A target that is leaving receives no new work after 2 s."),
    GRACEFUL_SHUTDOWN("A graceful shutdown cuts no request in progress."),
    CONFIG_FORWARD("An accepted configuration is in force everywhere within 3 s and never reverts.");

    private final String requirement;

    Invariant(String requirement) {
        this.requirement = requirement;
    }

    /** Returns the requirement in one sentence. */
    public String requirement() {
        return requirement;
    }
}
