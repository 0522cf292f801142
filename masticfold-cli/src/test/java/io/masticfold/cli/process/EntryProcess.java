package io.masticfold.cli.process;

import io.masticfold.cli.Masticfold;
import io.masticfold.testkit.net.FreePorts;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Runs an entry as a process. */
record EntryProcess(
        String name, String zone, InetSocketAddress address, InetSocketAddress admin, ChildProcess process) {

    private static final int OK = 200;
    private static final String SETTINGS =
            """
            {"name": "%s", "zone": "%s", "region": "%s", "listen": "%s", "admin": "%s",
             "objectApi": "%s", "vmList": "%s", "sharedSecret": "%s", "threads": 2, "drainDelayMillis": 500}
            """;

    static EntryProcess start(String name, String zone, Path directory, InetSocketAddress objectApi, String vmList)
            throws IOException {
        InetSocketAddress listen = FreePorts.next();
        InetSocketAddress admin = FreePorts.next();
        Path file = directory.resolve(name + ".json");
        String settings = SETTINGS.formatted(
                name,
                zone,
                SmallDeployment.REGION,
                TargetProcess.hostPort(listen),
                TargetProcess.hostPort(admin),
                TargetProcess.hostPort(objectApi),
                vmList,
                SmallDeployment.SECRET);
        Files.writeString(file, settings);
        ChildProcess process =
                ChildProcess.start(name, directory, Masticfold.class, List.of("entry", "--settings", file.toString()));
        return new EntryProcess(name, zone, listen, admin, process);
    }

    boolean ready() {
        return ready(admin);
    }

    static boolean ready(InetSocketAddress admin) {
        try {
            return HttpOnce.get(admin, "/health/ready").status() == OK;
        } catch (IOException e) {
            return false;
        }
    }
}
