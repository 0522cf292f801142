package io.masticfold.entry.http;

import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;

/** HTTP headers of the API for callers. */
final class EntryHeaders {

    static final HttpHeader IDEMPOTENCY_KEY = HttpHeaders.of("Idempotency-Key");
    static final HttpHeader DEADLINE_MS = HttpHeaders.of("Deadline-Ms");
    static final HttpHeader REQUEST_ID = HttpHeaders.of("X-Request-Id");
    static final HttpHeader WORKSPACE = HttpHeaders.of("X-Workspace");
    static final HttpHeader RETRY_AFTER = HttpHeaders.of("Retry-After");

    private EntryHeaders() {}
}
