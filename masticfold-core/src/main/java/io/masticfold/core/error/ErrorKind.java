package io.masticfold.core.error;

import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Lists every error the system answers with, together with the table from kind to answer: HTTP status, default
 * statement about execution, and where a retry makes sense.
 */
public enum ErrorKind {
    MALFORMED_REQUEST(400, Ran.NO, Retry.NEVER),
    BODY_TOO_LARGE(413, Ran.NO, Retry.NEVER),
    UNAUTHENTICATED(401, Ran.NO, Retry.NEVER),
    UNKNOWN_WORKSPACE(403, Ran.NO, Retry.NEVER),
    UNKNOWN_PIPELINE(404, Ran.NO, Retry.NEVER),
    IDEMPOTENCY_KEY_MISSING(400, Ran.NO, Retry.NEVER),
    IDEMPOTENCY_KEY_REUSED(422, Ran.NO, Retry.NEVER),
    DEADLINE_EXPIRED(504, Ran.NO, Retry.NEVER),
    WORKSPACE_LIMIT(429, Ran.NO, Retry.LATER),
    OVERLOADED(503, Ran.NO, Retry.ELSEWHERE),
    SHED(503, Ran.NO, Retry.LATER),
    NO_TARGET(503, Ran.NO, Retry.LATER),
    ZONE_OUT(503, Ran.NO, Retry.ELSEWHERE),
    TARGET_LEAVING(503, Ran.NO, Retry.ELSEWHERE),
    TARGET_COLD(503, Ran.NO, Retry.ELSEWHERE),
    QUEUE_FULL(503, Ran.NO, Retry.ELSEWHERE),
    BUDGET_TOO_SHORT(504, Ran.NO, Retry.NEVER),
    STALE_INCARNATION(503, Ran.UNKNOWN, Retry.ELSEWHERE),
    DUPLICATE_ATTEMPT(503, Ran.UNKNOWN, Retry.NEVER),
    SEALED(503, Ran.NO, Retry.ELSEWHERE),
    RETRY_BUDGET_SPENT(503, Ran.UNKNOWN, Retry.LATER),
    IN_PROGRESS(409, Ran.UNKNOWN, Retry.LATER),
    OUTCOME_UNKNOWN(502, Ran.UNKNOWN, Retry.LATER),
    CLAIM_STORE_UNAVAILABLE(503, Ran.NO, Retry.LATER),
    TARGET_FAILED(502, Ran.YES, Retry.ELSEWHERE),
    TARGET_UNREACHABLE(503, Ran.NO, Retry.ELSEWHERE),
    STAGE_TIMEOUT(504, Ran.UNKNOWN, Retry.NEVER),
    LINK_LOST(502, Ran.UNKNOWN, Retry.ELSEWHERE),
    CANCELLED(499, Ran.UNKNOWN, Retry.NEVER),
    SHUTTING_DOWN(503, Ran.NO, Retry.ELSEWHERE),
    NO_CONFIGURATION(503, Ran.NO, Retry.ELSEWHERE),
    PROTOCOL_VIOLATION(400, Ran.NO, Retry.NEVER),
    INTERNAL(500, Ran.UNKNOWN, Retry.NEVER);

    private static final Map<String, ErrorKind> BY_CODE =
            Arrays.stream(values()).collect(Collectors.toUnmodifiableMap(ErrorKind::code, Function.identity()));

    private final String code;
    private final int httpStatus;
    private final Ran ran;
    private final Retry retry;

    ErrorKind(int httpStatus, Ran ran, Retry retry) {
        this.code = name().toLowerCase(Locale.ROOT);
        this.httpStatus = httpStatus;
        this.ran = ran;
        this.retry = retry;
    }

    /** Returns the stable name used in answers, metrics and on the wire. */
    public String code() {
        return code;
    }

    /** Returns the HTTP status of an answer with this kind. */
    public int httpStatus() {
        return httpStatus;
    }

    /** Returns what this kind alone says about the execution of the attempt it ends. */
    public Ran ran() {
        return ran;
    }

    /** Returns where a retry of an idempotent stage makes sense. */
    public Retry retry() {
        return retry;
    }

    /**
     * Finds the kind with a code.
     *
     * @param code the value of {@link #code()}
     * @return the kind, or {@link #INTERNAL} for a code this version does not know
     */
    public static ErrorKind ofCode(String code) {
        return BY_CODE.getOrDefault(code, INTERNAL);
    }
}
