package io.masticfold.gateway.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Refuses requests that carry both a length and chunks, which two parsers may take for different requests. */
final class StrictRequestDecoder extends HttpRequestDecoder {

    StrictRequestDecoder(HttpDecoderConfig config) {
        super(config);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage _message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding: chunked are set");
    }
}
