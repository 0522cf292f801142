package io.masticfold.gateway.protocol;

import io.netty.util.AsciiString;
import java.util.List;

/**
 * Holds the names of the platform-specific headers.
 *
 * @param attemptId id of one attempt of a caller, which targets echo
 * @param deadlineMillis time the receiver may take, in milliseconds
 * @param seal proof that a response was produced by a target
 * @param notExecuted present if a target did not run the request
 * @param expectedTarget id of the only target that may run the request
 * @param targetId id of the target that responds
 * @param workspace name of the workspace that owns the caller's key
 * @param load running requests, waiting requests and slots of the target that responds
 * @param priority priority of the request at an engine, 0 (most urgent) to 9
 * @param lastEventId id of the last event that the receiver of a stream has received
 * @param stageInputs handles of the stage results that the request reads
 * @param forbiddenFromCallers headers reserved for the system, which are removed from requests of callers
 */
public record HeaderNames(
        AsciiString attemptId,
        AsciiString deadlineMillis,
        AsciiString seal,
        AsciiString notExecuted,
        AsciiString expectedTarget,
        AsciiString targetId,
        AsciiString workspace,
        AsciiString load,
        AsciiString priority,
        AsciiString lastEventId,
        AsciiString stageInputs,
        List<AsciiString> forbiddenFromCallers) {

    /** Copies the list. */
    public HeaderNames {
        forbiddenFromCallers = List.copyOf(forbiddenFromCallers);
    }
}
