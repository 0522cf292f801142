package io.masticfold.platform.http;

import java.time.Duration;

/** Ends an HTTP call. */
public sealed interface HttpResult permits HttpResult.Answered, HttpResult.NotSent, HttpResult.Lost {

    /**
     * Reports a whole answer.
     *
     * @param status HTTP status
     * @param retryAfter value of {@code Retry-After}, one second if the answer has none
     * @param body the body as UTF-8 text
     */
    record Answered(int status, Duration retryAfter, String body) implements HttpResult {}

    /**
     * Reports a call of which no byte left, so it certainly had no effect.
     *
     * @param reason what prevented it
     */
    record NotSent(String reason) implements HttpResult {}

    /**
     * Reports a call whose answer was cut or late, so its effect is not known.
     *
     * @param reason what happened
     */
    record Lost(String reason) implements HttpResult {}
}
