package io.masticfold.cli.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Sends one HTTP request on a connection of its own. The clients of the JDK repeat some requests by themselves and
 * reuse connections, which would hide the faults that these tests look for.
 */
final class HttpOnce {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private HttpOnce() {}

    /**
     * Sends a request and reads the whole answer.
     *
     * @throws ConnectException if the connection was refused, so that nothing was sent
     * @throws IOException if the connection broke later or the answer is not whole
     */
    static Answer send(InetSocketAddress address, String method, String path, Map<String, String> headers, String body)
            throws IOException {
        return send(address, (int) TIMEOUT.toMillis(), head(address, method, path, headers, body));
    }

    static Answer get(InetSocketAddress address, String path) throws IOException {
        return get(address, path, (int) TIMEOUT.toMillis());
    }

    static Answer get(InetSocketAddress address, String path, int timeoutMillis) throws IOException {
        return send(address, timeoutMillis, head(address, "GET", path, Map.of(), ""));
    }

    private static Answer send(InetSocketAddress address, int timeoutMillis, byte[] request) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(address, timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            OutputStream out = socket.getOutputStream();
            out.write(request);
            out.flush();
            return Answer.read(socket.getInputStream());
        }
    }

    static JsonNode json(String text) throws IOException {
        return MAPPER.readTree(text);
    }

    private static byte[] head(
            InetSocketAddress address, String method, String path, Map<String, String> headers, String body) {
        byte[] content = body.getBytes(StandardCharsets.UTF_8);
        StringBuilder head = new StringBuilder(method + ' ' + path + " HTTP/1.1\r\nHost: "
                + address.getAddress().getHostAddress() + "\r\nConnection: close\r\n");
        headers.forEach(
                (name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ")
                .append(content.length)
                .append("\r\n\r\n")
                .append(body);
        return head.toString().getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Holds an answer.
     *
     * @param status HTTP status
     * @param headers headers by lower-case name
     * @param body the whole body
     */
    record Answer(int status, Map<String, String> headers, String body) {

        private static final String LENGTH = "content-length";

        JsonNode json() throws IOException {
            return HttpOnce.json(body);
        }

        private static Answer read(InputStream in) throws IOException {
            int status = Integer.parseInt(line(in).split(" ", 3)[1]);
            Map<String, String> headers = new TreeMap<>();
            for (String line = line(in); !line.isEmpty(); line = line(in)) {
                int colon = line.indexOf(':');
                headers.put(
                        line.substring(0, colon).toLowerCase(Locale.ROOT),
                        line.substring(colon + 1).trim());
            }
            byte[] body = headers.getOrDefault("transfer-encoding", "").equals("chunked")
                    ? chunks(in)
                    : exactly(in, Integer.parseInt(headers.getOrDefault(LENGTH, "0")));
            return new Answer(status, headers, new String(body, StandardCharsets.UTF_8));
        }

        private static byte[] chunks(InputStream in) throws IOException {
            List<byte[]> parts = new ArrayList<>();
            int total = 0;
            for (int size = Integer.parseInt(line(in), 16); size > 0; size = Integer.parseInt(line(in), 16)) {
                parts.add(exactly(in, size));
                total += size;
                line(in);
            }
            byte[] body = new byte[total];
            int position = 0;
            for (byte[] part : parts) {
                System.arraycopy(part, 0, body, position, part.length);
                position += part.length;
            }
            return body;
        }

        private static byte[] exactly(InputStream in, int length) throws IOException {
            byte[] bytes = in.readNBytes(length);
            if (bytes.length < length) {
                throw new IOException("answer cut after " + bytes.length + " of " + length + " bytes");
            }
            return bytes;
        }

        private static String line(InputStream in) throws IOException {
            StringBuilder line = new StringBuilder();
            for (int next = in.read(); next != '\n'; next = in.read()) {
                if (next < 0) {
                    throw new IOException("answer cut after '" + line + "'");
                }
                line.append((char) next);
            }
            return line.toString().strip();
        }
    }
}
