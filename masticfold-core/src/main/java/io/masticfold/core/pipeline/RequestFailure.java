package io.masticfold.core.pipeline;

import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.Ran;
import java.time.Duration;

/**
 * Holds the final error response to a request.
 *
 * @param kind kind of the error
 * @param ran whether any target ran any stage of the request
 * @param effects whether any non-idempotent stage of the request ran
 * @param retryAfter time after which the caller may retry, zero if a retry is not useful
 * @param message human-readable description of the error
 */
public record RequestFailure(ErrorKind kind, Ran ran, Ran effects, Duration retryAfter, String message) {}
