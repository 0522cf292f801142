package io.masticfold.gateway.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Refuses requests with both a {@code Content-Length} and chunked transfer coding. Parsers may disagree on where such
 * a request ends, which allows request smuggling.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

    StrictRequestDecoder(HttpDecoderConfig config) {
        super(config);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage _message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding: chunked are set");
    }
}
