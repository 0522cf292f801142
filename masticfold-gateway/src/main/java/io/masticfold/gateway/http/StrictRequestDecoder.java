package io.masticfold.gateway.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Refuses requests that parsers may read in different ways, which allows request smuggling, or that could not be passed
 * on as they came: a {@code Content-Length} beside chunked transfer coding, and a request line whose parts are not
 * separated by one space each or whose target has control bytes.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

    private static final int SPACE = ' ';
    private static final int DELETE = 0x7f;

    /** End of the part of the request line that was split last. */
    private int end;

    StrictRequestDecoder(HttpDecoderConfig config) {
        super(config);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage _message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding: chunked are set");
    }

    @Override
    protected String splitFirstWordInitialLine(byte[] line, int start, int length) {
        // A line is decoded from the beginning of its array.
        if (start > 0) {
            throw new IllegalArgumentException("blank before the method");
        }
        end = start + length;
        return super.splitFirstWordInitialLine(line, start, length);
    }

    @Override
    protected String splitSecondWordInitialLine(byte[] line, int start, int length) {
        checkSeparator(line, start);
        for (int i = start; i < start + length; i++) {
            int next = line[i] & 0xff;
            if (next <= SPACE || next == DELETE) {
                throw new IllegalArgumentException("control byte in the request target");
            }
        }
        end = start + length;
        return super.splitSecondWordInitialLine(line, start, length);
    }

    @Override
    protected String splitThirdWordInitialLine(byte[] line, int start, int length) {
        checkSeparator(line, start);
        return super.splitThirdWordInitialLine(line, start, length);
    }

    private void checkSeparator(byte[] line, int start) {
        if (start != end + 1 || line[end] != SPACE) {
            throw new IllegalArgumentException("parts of the request line are not separated by one space");
        }
    }
}
