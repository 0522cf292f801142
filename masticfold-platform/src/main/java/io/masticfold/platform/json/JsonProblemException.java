package io.masticfold.platform.json;

import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.MasticfoldException;
import java.util.List;
import java.util.stream.Collectors;

/** Thrown if a JSON text has at least one problem. */
public final class JsonProblemException extends MasticfoldException {

    private final transient List<JsonProblem> problems;

    /**
     * Creates an exception.
     *
     * @param problems at least one problem
     */
    public JsonProblemException(List<JsonProblem> problems) {
        super(
                ErrorKind.MALFORMED_REQUEST,
                problems.stream().map(JsonProblem::toString).collect(Collectors.joining("\n")));
        this.problems = List.copyOf(problems);
    }

    /** Returns the problems. */
    public List<JsonProblem> problems() {
        return problems;
    }
}
