package io.masticfold.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Locale;
import org.jspecify.annotations.Nullable;

/**
 * Checks the bytes of responses against the grammar of HTTP/1.1 (RFC 9112) before they are decoded: a decoder repairs
 * much of what the grammar forbids, and callers would get the repaired response. Follows one response, interim ones
 * included, up to its end; what comes after it is not examined. Not thread-safe.
 */
final class ResponseSyntax {

    private static final String CONTENT_LENGTH = "content-length";
    private static final String TRANSFER_ENCODING = "transfer-encoding";

    /** Largest number of digits of a length in decimal or hexadecimal. */
    private static final int MAX_DIGITS = 15;

    /** Bytes of a name or value that are kept; no header that frames the body is longer. */
    private static final int MAX_KEPT = 32;

    private final StringBuilder name = new StringBuilder();
    private final StringBuilder value = new StringBuilder();
    private SyntaxState state = SyntaxState.VERSION;
    private boolean headRequest;
    private int matched;
    private int digits;
    private long number;
    private int code;
    private boolean framingField;
    private boolean chunked;
    private boolean lengthKnown;
    private long length;

    /** Starts with the response to a request. */
    void begin(HttpMethod method) {
        headRequest = method.equals(HttpMethod.HEAD);
        state = beginHead();
    }

    /**
     * Examines bytes that were received, and does not consume them.
     *
     * @return what is wrong with the response, or null if nothing is up to here
     */
    @Nullable
    String problem(ByteBuf bytes) {
        int index = bytes.readerIndex();
        while (index < bytes.writerIndex()) {
            if (state == SyntaxState.UNTIL_CLOSE || state == SyntaxState.ENDED) {
                return null;
            }
            if (state == SyntaxState.BODY || state == SyntaxState.CHUNK_DATA) {
                int skipped = (int) Math.min(number, bytes.writerIndex() - index);
                index += skipped;
                number -= skipped;
                if (number == 0) {
                    state = state == SyntaxState.BODY ? SyntaxState.ENDED : SyntaxState.CHUNK_DATA_CR;
                }
                continue;
            }
            int next = bytes.getUnsignedByte(index++);
            SyntaxState following = state.next(this, next);
            if (following == null) {
                return String.format("byte 0x%02x in the %s", next, state.name().toLowerCase(Locale.ROOT));
            }
            state = following;
        }
        return null;
    }

    private SyntaxState beginHead() {
        matched = 0;
        code = 0;
        digits = 0;
        chunked = false;
        lengthKnown = false;
        return SyntaxState.VERSION;
    }

    /** Returns whether a byte is the next one of a fixed text, and whether that is complete by {@link #matchedAll}. */
    boolean matches(String text, int next) {
        return text.charAt(matched++) == next;
    }

    boolean matchedAll(String text) {
        return matched == text.length();
    }

    /** Adds a digit of the status code; returns false if the code is not valid. */
    boolean addCodeDigit(int digit) {
        code = code * 10 + digit;
        digits++;
        return digits < 3 || (code >= 100 && code <= 599 && code != 101);
    }

    boolean codeComplete() {
        return digits == 3;
    }

    SyntaxState beginName(int first) {
        name.setLength(0);
        value.setLength(0);
        addToName(first);
        return SyntaxState.FIELD_NAME;
    }

    void addToName(int next) {
        if (name.length() < MAX_KEPT) {
            name.append((char) Character.toLowerCase(next));
        }
    }

    void endName() {
        framingField = CONTENT_LENGTH.contentEquals(name) || TRANSFER_ENCODING.contentEquals(name);
    }

    void addToValue(int next) {
        if (framingField && value.length() <= MAX_KEPT) {
            value.append((char) next);
        }
    }

    /** Ends a header field; returns false if it does not frame the body in one way only. */
    boolean endField() {
        if (!framingField) {
            return true;
        }
        if (chunked || lengthKnown || value.length() > MAX_KEPT) {
            return false;
        }
        String text = value.toString().strip();
        if (TRANSFER_ENCODING.contentEquals(name)) {
            chunked = true;
            return text.equalsIgnoreCase("chunked");
        }
        lengthKnown = true;
        if (text.isEmpty() || text.length() > MAX_DIGITS || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            return false;
        }
        length = Long.parseLong(text);
        return true;
    }

    SyntaxState endHead() {
        if (code < 200) {
            return beginHead();
        }
        if (headRequest || code == 204 || code == 304) {
            return SyntaxState.ENDED;
        }
        if (chunked) {
            return beginChunk();
        }
        number = length;
        if (lengthKnown) {
            return length == 0 ? SyntaxState.ENDED : SyntaxState.BODY;
        }
        return SyntaxState.UNTIL_CLOSE;
    }

    SyntaxState beginChunk() {
        number = 0;
        digits = 0;
        return SyntaxState.CHUNK_SIZE;
    }

    /** Adds a digit of the size of a chunk; returns false if there are too many. */
    boolean addSizeDigit(int digit) {
        number = number * 16 + digit;
        digits++;
        return digits <= MAX_DIGITS;
    }

    boolean sizeBegun() {
        return digits > 0;
    }

    boolean lastChunk() {
        return number == 0;
    }
}
