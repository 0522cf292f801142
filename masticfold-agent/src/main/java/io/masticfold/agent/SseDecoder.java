package io.masticfold.agent;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Incremental decoder of a target's server-sent events. The result consists of the data lines of {@code token} events,
 * each followed by a line feed. An {@code end} event completes the stream, an {@code error} event fails it, and other
 * events are ignored.
 */
final class SseDecoder {

    /** Maximum length of a line in bytes, far above the length of a token. */
    static final int MAX_LINE_BYTES = 64 * 1024;

    private static final byte[] EVENT = "event:".getBytes(StandardCharsets.UTF_8);
    private static final byte[] DATA = "data:".getBytes(StandardCharsets.UTF_8);

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final ByteArrayOutputStream data = new ByteArrayOutputStream();
    private ByteArrayOutputStream result = new ByteArrayOutputStream();
    private String event = "";
    private SseStreamState state = SseStreamState.OPEN;
    private boolean previousWasCarriageReturn;

    /** Returns the state of the stream after the bytes decoded so far. */
    SseStreamState state() {
        return state;
    }

    /** Decodes the next bytes; bytes after the end of the stream are ignored. */
    void decode(byte[] bytes, int offset, int length) {
        for (int i = offset; i < offset + length && state == SseStreamState.OPEN; i++) {
            decode(bytes[i]);
        }
    }

    /** Returns the result bytes decoded since the last call and removes them from the buffer. */
    byte[] drainResult() {
        byte[] taken = result.toByteArray();
        result = new ByteArrayOutputStream();
        return taken;
    }

    /** Decodes one byte. Lines may end with CR LF, LF or CR, as the server-sent events format allows. */
    private void decode(byte next) {
        if (next == '\n' && previousWasCarriageReturn) {
            previousWasCarriageReturn = false;
            return;
        }
        previousWasCarriageReturn = next == '\r';
        if (next == '\n' || next == '\r') {
            processLine(line.toByteArray());
            line.reset();
        } else if (line.size() >= MAX_LINE_BYTES || data.size() > MAX_LINE_BYTES) {
            state = SseStreamState.MALFORMED;
        } else {
            line.write(next);
        }
    }

    private void processLine(byte[] text) {
        if (text.length == 0) {
            processEvent();
        } else if (startsWith(text, EVENT)) {
            int start = valueStart(text, EVENT.length);
            event = new String(text, start, text.length - start, StandardCharsets.UTF_8);
        } else if (startsWith(text, DATA)) {
            int start = valueStart(text, DATA.length);
            data.write(text, start, text.length - start);
            data.write('\n');
        }
    }

    private void processEvent() {
        switch (event) {
            case "token" -> result.writeBytes(data.toByteArray());
            case "end" -> state = SseStreamState.ENDED;
            case "error" -> state = SseStreamState.FAILED;
            default -> {
                // Other event types carry no result data.
            }
        }
        event = "";
        data.reset();
    }

    private static int valueStart(byte[] text, int prefix) {
        return prefix < text.length && text[prefix] == ' ' ? prefix + 1 : prefix;
    }

    private static boolean startsWith(byte[] text, byte[] prefix) {
        return text.length >= prefix.length && Arrays.equals(text, 0, prefix.length, prefix, 0, prefix.length);
    }
}
