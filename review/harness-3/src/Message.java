import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** An HTTP/1.1 message as it was read from a socket. */
final class Message {
    String start = "";
    final List<String[]> headers = new ArrayList<>();
    byte[] body = {};
    /** Whether the message ended as its framing says; false if the connection ended first. */
    boolean complete = true;
    /** Whether the connection was reset within the message. */
    boolean reset;

    String header(String name) {
        for (String[] header : headers) {
            if (header[0].equalsIgnoreCase(name)) {
                return header[1];
            }
        }
        return "";
    }

    boolean has(String name) {
        return headers.stream().anyMatch(header -> header[0].equalsIgnoreCase(name));
    }

    String method() {
        return start.split(" ", 2)[0];
    }

    String target() {
        return start.split(" ", 3)[1];
    }

    int status() {
        return Integer.parseInt(start.split(" ", 3)[1]);
    }

    String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** Reads the head of a message; null if the connection ended before its first byte. */
    static Message readHead(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) {
            return null;
        }
        Message message = new Message();
        message.start = line;
        for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
            int colon = header.indexOf(':');
            message.headers.add(new String[] {
                header.substring(0, colon).trim(), header.substring(colon + 1).trim()
            });
        }
        return message;
    }

    /** Reads a request; null if the connection ended before it. */
    static Message readRequest(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message != null) {
            message.readBody(in, false);
        }
        return message;
    }

    /** Reads a response; interim responses are skipped. Null if the connection ended before it. */
    static Message readResponse(InputStream in) throws IOException {
        Message message = readHead(in);
        while (message != null && message.status() < 200) {
            message = readHead(in);
        }
        if (message != null) {
            message.readBody(in, true);
        }
        return message;
    }

    void readBody(InputStream in, boolean untilClose) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            if (header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
                while (true) {
                    String size = line(in);
                    if (size == null) {
                        complete = false;
                        break;
                    }
                    int length = Integer.parseInt(size.split(";")[0].trim(), 16);
                    if (length == 0) {
                        String trailer = line(in);
                        while (trailer != null && !trailer.isEmpty()) {
                            trailer = line(in);
                        }
                        break;
                    }
                    copy(in, out, length);
                    line(in);
                }
            } else if (has("Content-Length")) {
                copy(in, out, Integer.parseInt(header("Content-Length")));
            } else if (untilClose) {
                in.transferTo(out);
            }
        } catch (EOFException e) {
            complete = false;
        } catch (IOException e) {
            complete = false;
            reset = true;
        }
        body = out.toByteArray();
    }

    private static void copy(InputStream in, ByteArrayOutputStream out, int length) throws IOException {
        byte[] buffer = new byte[8192];
        for (int left = length; left > 0; ) {
            int read = in.read(buffer, 0, Math.min(left, buffer.length));
            if (read < 0) {
                throw new EOFException();
            }
            out.write(buffer, 0, read);
            left -= read;
        }
    }

    /** Reads a line; null at the end of the connection. */
    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            if (next == '\n') {
                break;
            }
            out.write(next);
        }
        String text = out.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }
}
