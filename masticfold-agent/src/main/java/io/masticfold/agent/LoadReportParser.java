package io.masticfold.agent;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.masticfold.core.attempt.Temperature;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.MasticfoldException;
import io.masticfold.core.gate.TargetReport;
import java.util.Locale;

/** Parses the JSON load reports of targets. */
final class LoadReportParser {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private LoadReportParser() {}

    /**
     * Parses a load report.
     *
     * @param json response body of the target's load endpoint
     * @throws MasticfoldException with kind {@code TARGET_FAILED} if the text is not a valid load report
     */
    static TargetReport parse(String json) throws MasticfoldException {
        try {
            JsonNode report = MAPPER.readTree(json);
            return new TargetReport(
                    report.required("bootId").asText(),
                    Temperature.valueOf(report.required("state").asText().toUpperCase(Locale.ROOT)),
                    report.required("running").asInt(),
                    report.required("queued").asInt(),
                    report.required("slots").asInt(),
                    report.path("ageMillis").asLong());
        } catch (JsonProcessingException | IllegalArgumentException e) {
            throw new MasticfoldException(ErrorKind.TARGET_FAILED, "invalid load report: " + e.getMessage(), e);
        }
    }
}
