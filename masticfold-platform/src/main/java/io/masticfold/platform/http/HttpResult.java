package io.masticfold.platform.http;

import java.time.Duration;

/** Result of an HTTP call. */
public sealed interface HttpResult permits HttpResult.Answered, HttpResult.NotSent, HttpResult.Lost {

    /**
     * A complete response.
     *
     * @param status HTTP status
     * @param retryAfter value of {@code Retry-After}, one second if the header is absent
     * @param body response body, decoded as UTF-8
     */
    record Answered(int status, Duration retryAfter, String body) implements HttpResult {}

    /**
     * No byte of the request was sent, so the call had no effect.
     *
     * @param reason why the request was not sent
     */
    record NotSent(String reason) implements HttpResult {}

    /**
     * The response was incomplete or late, so it is unknown whether the call took effect.
     *
     * @param reason why the response was lost
     */
    record Lost(String reason) implements HttpResult {}
}
