package io.masticfold.platform.json;

import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.MasticfoldException;
import java.util.List;
import java.util.stream.Collectors;

/** Signals that a JSON text has at least one fault. */
public final class JsonProblemException extends MasticfoldException {

    private final transient List<JsonProblem> problems;

    /**
     * Creates an exception.
     *
     * @param problems at least one fault
     */
    public JsonProblemException(List<JsonProblem> problems) {
        super(
                ErrorKind.MALFORMED_REQUEST,
                problems.stream().map(JsonProblem::toString).collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }

    /** Returns the faults. */
    public List<JsonProblem> problems() {
        return problems;
    }
}
