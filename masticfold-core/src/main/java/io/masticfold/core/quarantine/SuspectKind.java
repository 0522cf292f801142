package io.masticfold.core.quarantine;

import java.time.Duration;

/** Kinds of content that can crash targets, and the evidence that each needs. */
public enum SuspectKind {
    /** A part of prompts that sound requests may share, named by its id. */
    PROMPT_PART("", Duration.ofMillis(100), 2, 256, 64),
    /** A whole request, named by a prefix and its {@link RequestFingerprint}. */
    REQUEST("request-", Duration.ZERO, Integer.MAX_VALUE, 1024, 1024);

    private final String prefix;
    private final Duration commonCauseWindow;
    private final int maxEndsOfOneRequest;
    private final int maxSuspects;
    private final int maxQuarantined;

    SuspectKind(
            String prefix, Duration commonCauseWindow, int maxEndsOfOneRequest, int maxSuspects, int maxQuarantined) {
        this.prefix = prefix;
        this.commonCauseWindow = commonCauseWindow;
        this.maxEndsOfOneRequest = maxEndsOfOneRequest;
        this.maxSuspects = maxSuspects;
        this.maxQuarantined = maxQuarantined;
    }

    /** Returns the kind of the suspect with a name. */
    public static SuspectKind of(String name) {
        return name.startsWith(REQUEST.prefix) ? REQUEST : PROMPT_PART;
    }

    /** Returns the name of the suspect of this kind with an id. */
    public String name(String id) {
        return prefix + id;
    }

    /**
     * Returns the time within which several ends have one cause, such as a lost zone or connections that were reset
     * together. Copies of one request that end several targets at once are the cause themselves.
     */
    Duration commonCauseWindow() {
        return commonCauseWindow;
    }

    /** Returns the largest number of ends of one request that count, as the request itself may be their cause. */
    int maxEndsOfOneRequest() {
        return maxEndsOfOneRequest;
    }

    /** Returns the largest number of suspects that are not quarantined. */
    int maxSuspects() {
        return maxSuspects;
    }

    /** Returns the largest number of quarantined suspects. */
    int maxQuarantined() {
        return maxQuarantined;
    }
}
