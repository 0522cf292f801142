package io.masticfold.cli.process;

import io.masticfold.cli.Masticfold;
import io.masticfold.testkit.net.FreePorts;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Runs the agent of one target as a process. */
record AgentProcess(String name, InetSocketAddress listen, InetSocketAddress admin, ChildProcess process) {

    private static final String SETTINGS =
            """
            {"name": "%s", "zone": "%s", "region": "%s", "target": "%s", "listen": "%s", "admin": "%s",
             "targetAddress": "%s", "sharedSecret": "%s", "drainMillis": 10000}
            """;

    static AgentProcess start(TargetProcess target, String zone, Path directory) throws IOException {
        String name = "agent-" + target.name();
        InetSocketAddress listen = FreePorts.next();
        InetSocketAddress admin = FreePorts.next();
        Path file = directory.resolve(name + ".json");
        String settings = SETTINGS.formatted(
                name,
                zone,
                SmallDeployment.REGION,
                target.name(),
                TargetProcess.hostPort(listen),
                TargetProcess.hostPort(admin),
                TargetProcess.hostPort(target.address()),
                SmallDeployment.SECRET);
        Files.writeString(file, settings);
        ChildProcess process =
                ChildProcess.start(name, directory, Masticfold.class, List.of("agent", "--settings", file.toString()));
        return new AgentProcess(name, listen, admin, process);
    }
}
