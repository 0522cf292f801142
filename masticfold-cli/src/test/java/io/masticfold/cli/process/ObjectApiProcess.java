package io.masticfold.cli.process;

import com.fasterxml.jackson.databind.JsonNode;
import io.masticfold.testkit.StandInMain;
import io.masticfold.testkit.net.FreePorts;
import io.masticfold.testkit.object.ObjectApiFault;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** Runs the object API stand-in as a process. */
record ObjectApiProcess(InetSocketAddress address, ChildProcess process) {

    private static final int OK = 200;

    static ObjectApiProcess start(Path directory) throws IOException {
        InetSocketAddress address = FreePorts.next();
        return new ObjectApiProcess(
                address,
                ChildProcess.start(
                        "object-api",
                        directory,
                        StandInMain.class,
                        List.of("object-api", TargetProcess.hostPort(address))));
    }

    void fault(ObjectApiFault fault, long value) throws IOException {
        HttpOnce.send(address, "PUT", "/v1/faults", Map.of(), "{\"" + fault.code() + "\":" + value + "}");
    }

    /** Returns how many calls a counting switch still applies to. */
    long pending(ObjectApiFault fault) throws IOException {
        return HttpOnce.get(address, "/v1/faults").json().get(fault.code()).longValue();
    }

    /** Writes an object under the condition that it has a version; 0 creates it. */
    HttpOnce.Answer put(String kind, String name, long expected, String changeId, String spec) throws IOException {
        return HttpOnce.send(
                address,
                "PUT",
                "/v1/objects/" + kind + '/' + name,
                Map.of("If-Match", Long.toString(expected)),
                "{\"changeId\":\"" + changeId + "\",\"spec\":" + spec + "}");
    }

    /** Creates an object or fails. */
    void create(String kind, String name, String spec) throws IOException {
        HttpOnce.Answer answer = put(kind, name, 0, "test-setup", spec);
        if (answer.status() != OK) {
            throw new IOException("cannot create " + kind + '/' + name + ": " + answer);
        }
    }

    JsonNode object(String kind, String name) throws IOException {
        return HttpOnce.get(address, "/v1/objects/" + kind + '/' + name).json();
    }
}
