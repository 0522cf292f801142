import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A gateway process, started with the run command and the settings template of the deploy file. */
final class Gateway {
    private static final List<Gateway> ALL = new ArrayList<>();
    final String node;
    final String ip;
    final int front;
    final int ready;
    final int peer;
    private final Path settings;
    private final Path folder;
    final String zone;
    private Process process;

    Gateway(Path folder, int number, int peerPort, String zone) throws IOException {
        this(folder, "front-" + number, Loopback.ip(10 + number), peerPort, zone);
    }

    Gateway(Path folder, String node, String ip, int peerPort, String zone) throws IOException {
        this.folder = folder;
        this.node = node;
        this.ip = ip;
        this.front = freePort(ip);
        this.ready = freePort(ip);
        this.peer = peerPort;
        this.zone = zone;
        this.settings = folder.resolve(node + ".json");
        ALL.add(this);
    }

    static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }

    /** Fills in the settings template with the bounds of the site and starts the process. */
    void start(String store, List<String> seeds) throws IOException {
        StringBuilder list = new StringBuilder();
        for (String seed : seeds) {
            list.append(list.length() == 0 ? "" : ",").append('"').append(seed).append(":1\"");
        }
        String text = Files.readString(Path.of("deploy/gateway.json"));
        text = text.replaceAll("(?s)\\{\\{#seeds}}.*\\{\\{/seeds}}", Matcher.quoteReplacement(list.toString()));
        text = text.replaceAll("(?s)\\{\\{#bounds.expose_share}}.*\\{\\{/bounds.expose_share}}", "");
        String[][] values = {
            {"node", node},
            {"zone", zone},
            {"listen.front", ip + ":" + front},
            {"listen.ready", ip + ":" + ready},
            {"ip", ip},
            {"port_range.0", String.valueOf(peer)},
            {"platform.address", store},
            {"bounds.grace_s", "8"},
            {"bounds.drain_ms", "2000"},
            {"bounds.retry_budget_ratio", "0.2"},
            {"bounds.budget_extra", "54"},
            {"bounds.budget_window_s", "10"},
            {"bounds.cold_over", "1.5"},
            {"bounds.cold_slack", "5"}
        };
        for (String[] value : values) {
            text = text.replace("{{" + value[0] + "}}", value[1]);
        }
        Files.writeString(settings, text);
        String deploy = Files.readString(Path.of("deploy/system.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"").matcher(deploy);
        if (!run.find()) {
            throw new IOException("deploy/system.toml has no run command");
        }
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
        builder.environment().put("MASTICFOLD_NODE_FILE", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(node + ".log").toFile()));
        process = builder.start();
    }

    boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, ready), 500);
            socket.setSoTimeout(1000);
            Listener.write(socket, "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
            Message answer = Message.readResponse(socket.getInputStream());
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    void awaitReady() throws Exception {
        long end = System.nanoTime() + 20_000_000_000L;
        while (!isReady()) {
            if (System.nanoTime() > end || !process.isAlive()) {
                throw new IllegalStateException(node + " is not ready");
            }
            Thread.sleep(100);
        }
    }

    Socket connect() throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(ip, front), 1000);
        socket.setTcpNoDelay(true);
        return socket;
    }

    long pid() {
        return process.pid();
    }

    boolean alive() {
        return process.isAlive();
    }

    /** SIGKILL. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(10, TimeUnit.SECONDS);
    }

    void signal(String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, String.valueOf(pid())).start().waitFor();
    }

    static void endAll() {
        for (Gateway gateway : ALL) {
            if (gateway.process != null) {
                gateway.process.destroyForcibly();
            }
        }
        for (Gateway gateway : ALL) {
            if (gateway.process != null) {
                try {
                    gateway.process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException e) {
                    return;
                }
            }
        }
    }
}
