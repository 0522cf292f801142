package io.masticfold.cli.process;

import com.fasterxml.jackson.databind.JsonNode;
import io.masticfold.core.model.TargetKind;
import io.masticfold.testkit.StandInMain;
import io.masticfold.testkit.net.FreePorts;
import io.masticfold.testkit.targets.TargetFault;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Runs a target stand-in as a process and asks it what it recorded. */
record TargetProcess(String name, InetSocketAddress address, ChildProcess process) {

    private static final int OK = 200;

    /** Starts a target that collapses beyond two runs while cold. */
    static TargetProcess start(String name, TargetKind kind, Path directory, int meanMillis) throws IOException {
        InetSocketAddress address = FreePorts.next();
        ChildProcess process = ChildProcess.start(
                name,
                directory,
                StandInMain.class,
                List.of(
                        "target",
                        hostPort(address),
                        "--kind",
                        kind.name().toLowerCase(Locale.ROOT),
                        "--name",
                        name,
                        "--mean-millis",
                        Integer.toString(meanMillis),
                        "--slots",
                        "16",
                        "--cold-slots",
                        "2",
                        "--cold-millis",
                        "500"));
        return new TargetProcess(name, address, process);
    }

    static String hostPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ':' + address.getPort();
    }

    void fault(TargetFault fault, long value) throws IOException {
        String change = "{\"" + fault.code() + "\":" + value + "}";
        HttpOnce.Answer answer = HttpOnce.send(address, "PUT", "/v1/faults", Map.of(), change);
        if (answer.status() != OK) {
            throw new IOException(name + " refused " + change + ": " + answer);
        }
    }

    /** Returns the whole record of the target. */
    JsonNode report() throws IOException {
        return HttpOnce.get(address, "/v1/executions").json();
    }

    /** Returns the executions of one operation that held a slot. */
    List<JsonNode> ran(String operation) throws IOException {
        List<JsonNode> found = new ArrayList<>();
        for (JsonNode execution : report().get("executions")) {
            boolean ran = execution.get("startedMillis").longValue() > 0;
            if (ran && execution.get("operation").textValue().equals(operation)) {
                found.add(execution);
            }
        }
        return found;
    }

    /** Returns how many runs arrived after a wall-clock time, in milliseconds. */
    long arrivedAfter(long millis) throws IOException {
        long count = 0;
        for (JsonNode execution : report().get("executions")) {
            if (execution.get("arrivedMillis").longValue() > millis) {
                count++;
            }
        }
        return count;
    }
}
