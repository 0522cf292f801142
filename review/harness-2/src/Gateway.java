import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One gateway: the command of the deploy file with its settings template, on a loopback address of its own. */
final class Gateway {

    final String node;
    final String zone;
    final InetAddress ip;
    final int front;
    final int ready;
    private final Process process;
    private final Path log;

    private Gateway(String node, String zone, InetAddress ip, int front, int ready, Process process, Path log) {
        this.log = log;
        this.node = node;
        this.zone = zone;
        this.ip = ip;
        this.front = front;
        this.ready = ready;
        this.process = process;
    }

    static int freePort(InetAddress ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, ip)) {
            return socket.getLocalPort();
        }
    }

    private static int freePort(InetAddress ip, int taken, int alsoTaken) throws IOException {
        int port = freePort(ip);
        while (port == taken || port == alsoTaken) {
            port = freePort(ip);
        }
        return port;
    }

    /**
     * Starts a gateway.
     *
     * @param seeds control addresses of the first machines
     * @param peerPort first port of the range, the same on all machines
     */
    static Gateway start(
            String node,
            String zone,
            InetAddress ip,
            int peerPort,
            List<String> seeds,
            String store,
            Map<String, String> bounds,
            Path folder)
            throws IOException {
        int front = freePort(ip, peerPort, peerPort);
        int ready = freePort(ip, peerPort, front);
        String host = ip.getHostAddress();
        String text = Files.readString(Path.of("deploy/gateway.json"));
        text = Pattern.compile("\\{\\{#bounds\\.expose_share}}.*?\\{\\{/bounds\\.expose_share}}", Pattern.DOTALL)
                .matcher(text)
                .replaceAll("");
        List<String> quoted = new ArrayList<>();
        seeds.forEach(seed -> quoted.add('"' + seed + '"'));
        text = Pattern.compile("\\{\\{#seeds}}.*?\\{\\{/seeds}}", Pattern.DOTALL)
                .matcher(text)
                .replaceAll(Matcher.quoteReplacement(String.join(",", quoted)));
        text = text.replace("{{node}}", node)
                .replace("{{zone}}", zone)
                .replace("{{listen.front}}", host + ":" + front)
                .replace("{{listen.ready}}", host + ":" + ready)
                .replace("{{ip}}", host)
                .replace("{{port_range.0}}", Integer.toString(peerPort))
                .replace("{{platform.address}}", store);
        for (Map.Entry<String, String> bound : bounds.entrySet()) {
            text = text.replace("{{bounds." + bound.getKey() + "}}", bound.getValue());
        }
        if (text.contains("{{")) {
            throw new IOException("the template has a placeholder that is not filled in: " + text);
        }
        Path settings = folder.resolve(node + ".json");
        Files.writeString(settings, text);
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no command");
        }
        ProcessBuilder builder = new ProcessBuilder(List.of(run.group(1).split(" ")));
        builder.environment().put("MASTICFOLD_NODE_FILE", settings.toString());
        Path log = folder.resolve(node + ".log");
        builder.redirectErrorStream(true).redirectOutput(log.toFile());
        Process started = builder.start();
        // System.exit runs no finally block.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            started.destroyForcibly();
            try {
                started.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }));
        return new Gateway(node, zone, ip, front, ready, started, log);
    }

    boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, ready), 500);
            socket.setSoTimeout(500);
            Http.write(socket.getOutputStream(), "GET /-/ready HTTP/1.1", Map.of("Host", "ready"), null);
            return Http.head(socket.getInputStream()).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    boolean awaitReady(long millis) {
        long end = Record.millis() + millis;
        while (Record.millis() < end) {
            if (isReady()) {
                return true;
            }
            Threads.sleep(100);
        }
        Record.note(node + " is not ready, its process " + (alive() ? "runs" : "has ended") + ", front " + front
                + ", ready " + ready);
        try {
            Files.readAllLines(log).stream().limit(40).forEach(Record::note);
        } catch (IOException e) {
            Record.note("no log: " + e);
        }
        return false;
    }

    boolean alive() {
        return process.isAlive();
    }

    void kill() {
        process.destroyForcibly();
    }
}
