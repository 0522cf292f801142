package io.masticfold.gateway.request;

import io.masticfold.core.forward.ForwardRoute;
import io.masticfold.core.forward.RequestKind;
import io.masticfold.core.placement.PromptPrefix;
import io.masticfold.core.quarantine.SuspectKind;
import io.masticfold.core.stream.StreamEvent;
import io.masticfold.core.time.Deadline;
import io.masticfold.gateway.http.CallerRequest;
import io.masticfold.gateway.protocol.CallerMetadata;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Holds a request together with the decisions made when it was routed.
 *
 * @param request the request as received
 * @param metadata metadata decoded from its headers
 * @param route route that matches it
 * @param pool target pool that serves it
 * @param workspace workspace of the caller's API key; empty on open routes
 * @param priority priority among all requests; 0 is the most urgent
 * @param fingerprint identifies the content of the request, over all attempts of its caller
 * @param prompt shared prefix of its prompt, for cache affinity
 * @param deadline time by which the response must be complete
 * @param firstAnswerDeadline time by which the response must have begun
 * @param configVersion version of the configuration used for routing
 */
record RoutedRequest(
        CallerRequest request,
        CallerMetadata metadata,
        ForwardRoute route,
        String pool,
        String workspace,
        String fingerprint,
        int priority,
        PromptPrefix prompt,
        Deadline deadline,
        Deadline firstAnswerDeadline,
        long configVersion) {

    /** Largest number of prompt parts in a log line. */
    private static final int MAX_LOGGED_PARTS = 8;

    /** Returns whether the caller takes up a stream of which it has events. */
    boolean takesUpStream() {
        return route.kind() == RequestKind.RESUMABLE_STREAM
                && !(metadata.lastEventId().isEmpty()
                        && metadata.resumedAttempt().isEmpty());
    }

    /** Returns the last event that the caller has of a stream that it takes up; {@link StreamEvent#NO_ID} if none. */
    long lastEventId() {
        if (!takesUpStream() || metadata.lastEventId().isEmpty()) {
            return StreamEvent.NO_ID;
        }
        try {
            return Long.parseLong(metadata.lastEventId());
        } catch (NumberFormatException e) {
            // The ids of the caller's stream are not numbers, so that their order is not known.
            return StreamEvent.NO_ID;
        }
    }

    /** Returns what may crash targets: the name of the request and the ids of the shared parts of its prompt. */
    List<String> suspects() {
        List<String> suspects = new ArrayList<>(metadata.sharedPartIds());
        suspects.add(requestSuspect());
        return suspects;
    }

    /** Returns the name of the request among the suspects. */
    String requestSuspect() {
        return SuspectKind.REQUEST.name(fingerprint);
    }

    /** Returns the ids of the parts of the prompt that other prompts may share, as far as a log line holds them. */
    String loggedPromptParts() {
        return metadata.sharedPartIds().stream().limit(MAX_LOGGED_PARTS).collect(Collectors.joining(","));
    }
}
