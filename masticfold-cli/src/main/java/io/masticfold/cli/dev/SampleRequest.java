package io.masticfold.cli.dev;

import io.activej.http.HttpMethod;
import io.masticfold.cli.command.CommandException;
import io.masticfold.cli.command.ExitCode;
import io.masticfold.core.model.Contract;
import io.masticfold.core.model.Pipeline;
import io.masticfold.platform.http.HttpCall;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.UUID;
import org.jspecify.annotations.Nullable;

/**
 * Describes one sample request.
 *
 * @param pipeline pipeline to call
 * @param callerKey key of a workspace whose contract has the pipeline
 * @param body request body, as JSON text
 * @param idempotencyKey key of the request, null if the pipeline is idempotent
 */
record SampleRequest(String pipeline, String callerKey, String body, @Nullable String idempotencyKey) {

    private static final String PATH = "/v1/pipelines/";

    /** Returns a sample for each pipeline, in the order of their names. */
    static List<SampleRequest> of(DeploymentFiles files) throws CommandException {
        List<SampleRequest> samples = new ArrayList<>();
        for (Pipeline pipeline : files.all(Pipeline.class)) {
            String body = files.settings().samples().get(pipeline.name());
            if (body == null) {
                throw new CommandException(ExitCode.INVALID, "no sample for pipeline '" + pipeline.name() + "'");
            }
            String key = pipeline.idempotent() ? null : UUID.randomUUID().toString();
            samples.add(new SampleRequest(pipeline.name(), callerKey(files, pipeline), body, key));
        }
        return samples;
    }

    private static String callerKey(DeploymentFiles files, Pipeline pipeline) throws CommandException {
        return files.all(Contract.class).stream()
                .filter(contract -> contract.pipelines().contains(pipeline.name()))
                .map(contract -> files.settings().callers().get(contract.workspace()))
                .filter(Objects::nonNull)
                .findFirst()
                .orElseThrow(() -> new CommandException(
                        ExitCode.INVALID, "no caller has a contract for pipeline '" + pipeline.name() + "'"));
    }

    HttpCall call(InetSocketAddress entry) {
        Map<String, String> headers = new HashMap<>();
        headers.put("Authorization", "Bearer " + callerKey);
        headers.put("Content-Type", "application/json");
        if (idempotencyKey != null) {
            headers.put("Idempotency-Key", idempotencyKey);
        }
        return new HttpCall(HttpMethod.POST, entry, PATH + pipeline, headers, body);
    }

    String curl(InetSocketAddress entry) {
        String key = idempotencyKey == null ? "" : " -H 'Idempotency-Key: " + idempotencyKey + "'";
        return "curl -s http://" + entry.getAddress().getHostAddress() + ':' + entry.getPort() + PATH + pipeline
                + " -H 'Authorization: Bearer " + callerKey + "'" + key + " -d '" + body + "'";
    }
}
