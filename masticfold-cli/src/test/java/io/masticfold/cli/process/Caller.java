package io.masticfold.cli.process;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

/** Sends requests to entries as a caller of the workspace {@code shop}. */
final class Caller {

    private static final AtomicInteger REQUESTS = new AtomicInteger();

    /** Answers that no further try under the same key changes. */
    private static final Set<String> FINAL_KINDS = Set.of("outcome_unknown", "idempotency_key_reused");

    private Caller() {}

    /**
     * Sends one request; the operation is its idempotency key and marks its executions.
     *
     * @throws IOException if the connection was refused or the answer is not whole
     */
    static Reply call(EntryProcess entry, String pipeline, String operation) throws IOException {
        String requestId = "r-" + REQUESTS.incrementAndGet();
        return call(entry, pipeline, operation, requestId, body(operation));
    }

    /** Returns the body of an operation; every try of one operation has the same body. */
    static String body(String operation) {
        return "{\"operation\":\"" + operation + "\"}";
    }

    private static Reply call(EntryProcess entry, String pipeline, String operation, String requestId, String body)
            throws IOException {
        Map<String, String> headers = new TreeMap<>(Map.of(
                "Authorization",
                "Bearer " + SmallDeployment.CALLER_KEY,
                "Content-Type",
                "application/json",
                "Idempotency-Key",
                operation,
                "X-Request-Id",
                requestId));
        HttpOnce.Answer answer = HttpOnce.send(entry.address(), "POST", "/v1/pipelines/" + pipeline, headers, body);
        boolean retryAfter = answer.headers().containsKey("retry-after");
        return new Reply(requestId, body, answer.status(), retryAfter, answer.json());
    }

    /** Sends one request; empty if the connection was refused or broke. */
    static Optional<Reply> tryCall(EntryProcess entry, String pipeline, String operation) {
        try {
            return Optional.of(call(entry, pipeline, operation));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /**
     * Repeats a payment under the same key, entry after entry, until it has a result or its outcome is
     * unknown for good.
     */
    static Reply payUntilFinal(List<EntryProcess> entries, String operation) throws Exception {
        return payUntil(entries, operation, reply -> reply.ok() || FINAL_KINDS.contains(reply.errorKind()));
    }

    /** Repeats a payment under the same key until it has a result; for faults that end, so that it must settle. */
    static Reply payUntilResult(List<EntryProcess> entries, String operation) throws Exception {
        return payUntil(entries, operation, Reply::ok);
    }

    private static Reply payUntil(List<EntryProcess> entries, String operation, Predicate<Reply> end) throws Exception {
        Reply[] last = new Reply[1];
        int[] tries = {0};
        Await.until(
                "payment " + operation + " has a final answer",
                () -> {
                    EntryProcess entry = entries.get(tries[0]++ % entries.size());
                    try {
                        last[0] = call(entry, "payment", operation, "r-" + REQUESTS.incrementAndGet(), body(operation));
                        return end.test(last[0]);
                    } catch (IOException e) {
                        return false;
                    }
                },
                () -> "last answer " + last[0]);
        return last[0];
    }
}
