package io.masticfold.cli.dev;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.masticfold.cli.command.CommandException;
import io.masticfold.cli.command.ExitCode;
import io.masticfold.core.model.Pipeline;
import io.masticfold.platform.http.HttpCall;
import io.masticfold.platform.http.HttpChannel;
import io.masticfold.platform.http.HttpLimits;
import io.masticfold.platform.http.HttpResult;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Sends a sample request through every pipeline and prints each answer with its stage times. */
final class SampleRunner {

    private static final Duration TIMEOUT = Duration.ofSeconds(15);
    private static final int OK = 200;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final PrintStream out;

    SampleRunner(PrintStream out) {
        this.out = out;
    }

    /** Returns whether every answer was whole. */
    boolean run(DeploymentFiles files, InetSocketAddress entry) throws CommandException {
        HttpChannel channel = new HttpChannel("samples", HttpLimits.CALLS);
        channel.start();
        try {
            boolean whole = true;
            for (SampleRequest sample : SampleRequest.of(files)) {
                whole &= print(sample, files, send(channel, sample.call(entry)));
            }
            return whole;
        } finally {
            channel.stop();
        }
    }

    private static HttpResult send(HttpChannel channel, HttpCall call) throws CommandException {
        CompletableFuture<HttpResult> result = new CompletableFuture<>();
        channel.send(call, TIMEOUT, result::complete);
        try {
            return result.get(TIMEOUT.toSeconds() + 1, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandException(ExitCode.FAILED, "interrupted", e);
        } catch (ExecutionException | TimeoutException e) {
            throw new CommandException(ExitCode.FAILED, call + ": no reply: " + e, e);
        }
    }

    private boolean print(SampleRequest sample, DeploymentFiles files, HttpResult result) {
        if (!(result instanceof HttpResult.Answered answered)) {
            out.println(sample.pipeline() + ": no answer: " + result);
            return false;
        }
        out.println(sample.pipeline() + ": " + answered.status() + ' ' + answered.body());
        return answered.status() == OK && whole(sample, files, answered.body());
    }

    /** An answer is whole if it names a result and reports every stage of the pipeline. */
    private boolean whole(SampleRequest sample, DeploymentFiles files, String body) {
        try {
            JsonNode answer = JSON.readTree(body);
            int expected = files.all(Pipeline.class).stream()
                    .filter(pipeline -> pipeline.name().equals(sample.pipeline()))
                    .mapToInt(pipeline -> pipeline.stages().size())
                    .sum();
            return answer.hasNonNull("output") && answer.path("stages").size() == expected;
        } catch (JsonProcessingException e) {
            out.println(sample.pipeline() + ": the answer is not JSON: " + e.getOriginalMessage());
            return false;
        }
    }
}
