package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A gateway in a process of its own, started with the command of the deploy file. */
final class Gateway implements AutoCloseable {

    private static final List<Gateway> ALL = new ArrayList<>();

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(Gateway::closeAll));
    }

    final String name;
    final int listenPort;
    private final int readyPort;
    final Process process;

    Gateway(Path folder, String name, String zone, Store store) throws IOException {
        this.name = name;
        this.listenPort = freePort();
        this.readyPort = freePort();
        Path settings = folder.resolve(name + ".json");
        Files.writeString(
                settings,
                "{\"node\":\"" + name + "\",\"zone\":\"" + zone + "\",\"listen\":\"127.0.0.1:" + listenPort
                        + "\",\"readiness\":\"127.0.0.1:" + readyPort + "\",\"peer\":\"127.0.0.1:" + freePort()
                        + "\",\"seeds\":[],\"store\":\"" + store.address() + "\",\"metricsPort\":" + freePort()
                        + ",\"graceSeconds\":8,\"drainMillis\":2000,\"retryRatio\":0.2,\"retryExtra\":54,"
                        + "\"retryWindowSeconds\":10,\"coldFactor\":1.5,\"coldSlack\":5}");
        ProcessBuilder builder = new ProcessBuilder(command());
        builder.environment().put("MASTICFOLD_NODE_FILE", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(folder.resolve(name + ".log").toFile());
        process = builder.start();
        synchronized (ALL) {
            ALL.add(this);
        }
    }

    /** Returns the words of the start command in the deploy file. */
    private static List<String> command() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("deploy/system.toml has no start command");
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", listenPort), 1000);
        return socket;
    }

    boolean ready() {
        try (Socket socket = new Socket("127.0.0.1", readyPort)) {
            socket.setSoTimeout(1000);
            HttpStandIn.write(socket, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
            Message answer = Message.read(socket.getInputStream());
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Waits until the gateway is ready; throws if it is not within 20 s. */
    void awaitReady() throws IOException, InterruptedException {
        for (int i = 0; i < 200; i++) {
            if (ready()) {
                return;
            }
            Thread.sleep(100);
        }
        throw new IOException(name + " is not ready");
    }

    /** Ends the gateways that were started, and waits until they have ended. */
    static void closeAll() {
        synchronized (ALL) {
            for (Gateway gateway : ALL) {
                gateway.process.destroyForcibly();
                try {
                    gateway.process.waitFor();
                } catch (InterruptedException e) {
                    return;
                }
            }
        }
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
