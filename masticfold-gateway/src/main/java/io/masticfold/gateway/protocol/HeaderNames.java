package io.masticfold.gateway.protocol;

import io.netty.util.AsciiString;
import java.util.List;

/**
 * Names the headers of the platform by what they hold.
 *
 * @param attemptId id of one attempt of a caller, echoed by targets
 * @param deadlineMillis time the receiver may take, in milliseconds
 * @param seal proof that an answer is a target's own
 * @param notExecuted present if a target did not run the request
 * @param expectedTarget id of the only target that may run the request
 * @param targetId id of the answering target
 * @param workspace name of the workspace that owns the caller's key
 * @param load running and waiting requests and slots of the answering target
 * @param priority rank of the request at an engine, 0 to 9
 * @param lastEventId id of the last event that the receiver of a stream has
 * @param stageInputs handles of the stage results that the request reads
 * @param forbiddenFromCallers headers that only the system may set
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
