package io.masticfold.core.error;

import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * All kinds of errors that the system returns, each with its HTTP status, its default statement about whether the
 * request was executed, and its retry advice.
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
    TARGET_LIMITED(503, Ran.NO, Retry.ELSEWHERE),
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
    QUARANTINED(503, Ran.NO, Retry.LATER),
    STREAM_VERSION_GONE(503, Ran.NO, Retry.NEVER),
    STREAM_ORIGIN_UNKNOWN(503, Ran.NO, Retry.ELSEWHERE),
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

    /** Returns the stable code used in responses, metrics and the wire protocol. */
    public String code() {
        return code;
    }

    /** Returns the HTTP status of a response with this error. */
    public int httpStatus() {
        return httpStatus;
    }

    /** Returns whether an attempt that ended with this error was executed, as far as the kind of error alone tells. */
    public Ran ran() {
        return ran;
    }

    /** Returns whether and where an idempotent stage should be retried. */
    public Retry retry() {
        return retry;
    }

    /**
     * Returns the error kind with the given code.
     *
     * @param code a code returned by {@link #code()}
     * @return the error kind, or {@link #INTERNAL} if the code is unknown to this version
     */
    public static ErrorKind ofCode(String code) {
        return BY_CODE.getOrDefault(code, INTERNAL);
    }
}
