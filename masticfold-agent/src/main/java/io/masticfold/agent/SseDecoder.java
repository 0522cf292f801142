package io.masticfold.agent;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Decodes the server-sent events of a target. The data lines of {@code token} events, each followed by a line feed, make
 * up the result; {@code end} marks its end and {@code error} its failure. Other events are skipped.
 */
final class SseDecoder {

    /** Longest line, in bytes; a token is far shorter. */
    static final int MAX_LINE_BYTES = 64 * 1024;

    private static final byte[] EVENT = "event:".getBytes(StandardCharsets.UTF_8);
    private static final byte[] DATA = "data:".getBytes(StandardCharsets.UTF_8);

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final ByteArrayOutputStream data = new ByteArrayOutputStream();
    private ByteArrayOutputStream result = new ByteArrayOutputStream();
    private String event = "";
    private SseState state = SseState.OPEN;
    private boolean afterReturn;

    /** Returns what the events so far say about the stream. */
    SseState state() {
        return state;
    }

    /** Decodes bytes; those after the end are ignored. */
    void decode(byte[] bytes, int offset, int length) {
        for (int i = offset; i < offset + length && state == SseState.OPEN; i++) {
            decode(bytes[i]);
        }
    }

    /** Takes the result bytes of the token events that were completed since the last call. */
    byte[] takeResult() {
        byte[] taken = result.toByteArray();
        result = new ByteArrayOutputStream();
        return taken;
    }

    /** Accepts each of the three line ends of the format: CR LF, LF and CR. */
    private void decode(byte next) {
        if (next == '\n' && afterReturn) {
            afterReturn = false;
            return;
        }
        afterReturn = next == '\r';
        if (next == '\n' || next == '\r') {
            lineCompleted(line.toByteArray());
            line.reset();
        } else if (line.size() >= MAX_LINE_BYTES || data.size() > MAX_LINE_BYTES) {
            state = SseState.MALFORMED;
        } else {
            line.write(next);
        }
    }

    private void lineCompleted(byte[] text) {
        if (text.length == 0) {
            eventCompleted();
        } else if (startsWith(text, EVENT)) {
            int start = valueStart(text, EVENT.length);
            event = new String(text, start, text.length - start, StandardCharsets.UTF_8);
        } else if (startsWith(text, DATA)) {
            int start = valueStart(text, DATA.length);
            data.write(text, start, text.length - start);
            data.write('\n');
        }
    }

    private void eventCompleted() {
        switch (event) {
            case "token" -> result.writeBytes(data.toByteArray());
            case "end" -> state = SseState.ENDED;
            case "error" -> state = SseState.FAILED;
            default -> {
                // Events of other names carry no part of the result.
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
