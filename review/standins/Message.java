package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** An HTTP request or response as read from a connection. */
final class Message {

    final String startLine;
    final Map<String, String> headers;
    final byte[] body;

    private Message(String startLine, Map<String, String> headers, byte[] body) {
        this.startLine = startLine;
        this.headers = headers;
        this.body = body;
    }

    String method() {
        return startLine.split(" ")[0];
    }

    String target() {
        return startLine.split(" ")[1];
    }

    int status() {
        return Integer.parseInt(startLine.split(" ")[1]);
    }

    String header(String name) {
        return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** Reads a head only; null at the end of the connection. The body is left in the stream. */
    static Message readHead(InputStream in) throws IOException {
        String start = readLine(in);
        if (start == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return new Message(start, headers, new byte[0]);
    }

    /** Reads a message with its whole body; null at the end of the connection. */
    static Message read(InputStream in) throws IOException {
        Message head = readHead(in);
        if (head == null) {
            return null;
        }
        byte[] body;
        if (head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            while (true) {
                String size = readLine(in);
                if (size == null) {
                    throw new EOFException("the connection ended inside a body");
                }
                byte[] chunk = in.readNBytes(Integer.parseInt(size.trim(), 16));
                bytes.writeBytes(chunk);
                readLine(in);
                if (chunk.length == 0) {
                    break;
                }
            }
            body = bytes.toByteArray();
        } else {
            int length = head.header("content-length").isEmpty() ? 0 : Integer.parseInt(head.header("content-length"));
            body = in.readNBytes(length);
            if (body.length < length) {
                throw new EOFException("the connection ended after " + body.length + " of " + length + " bytes");
            }
        }
        return new Message(head.startLine, head.headers, body);
    }

    static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.append((char) next);
            }
            next = in.read();
        }
        return line.toString();
    }
}
