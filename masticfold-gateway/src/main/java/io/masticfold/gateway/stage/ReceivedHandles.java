package io.masticfold.gateway.stage;

import io.masticfold.gateway.protocol.PieceOutcome;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Tells the answer to a call from a late copy of an earlier one: each result has a handle of its own, which is received
 * once. Not thread-safe.
 */
final class ReceivedHandles {

    /** Handles that are remembered, more than those of ten calls; a copy comes in front of one of the next answers. */
    static final int MAX_REMEMBERED = 512;

    private final Set<String> handles = new LinkedHashSet<>();

    /** Returns whether one of the results was received before, and remembers them all. */
    boolean containsCopy(List<PieceOutcome> outcomes) {
        boolean copy = false;
        for (PieceOutcome outcome : outcomes) {
            if (outcome.kind() == PieceOutcome.Kind.MADE) {
                copy |= !handles.add(outcome.handle());
            }
        }
        while (handles.size() > MAX_REMEMBERED) {
            handles.remove(handles.iterator().next());
        }
        return copy;
    }
}
