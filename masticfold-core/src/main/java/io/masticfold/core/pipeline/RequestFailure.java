package io.masticfold.core.pipeline;

import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.Ran;
import java.time.Duration;

/**
 * Holds the final error answer to a request.
 *
 * @param kind kind of the error
 * @param ran whether any target ran any stage of the request
 * @param effects whether any non-idempotent stage of the request ran
 * @param retryAfter time after which the caller may come back, zero if a retry makes no sense
 * @param message what went wrong, in plain words
 */
public record RequestFailure(ErrorKind kind, Ran ran, Ran effects, Duration retryAfter, String message) {}
