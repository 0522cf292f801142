package io.masticfold.gateway.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/**
 * Holds the headers or trailers of a response, up to a number of fields: many short fields take far more memory than
 * the bytes that a server sends.
 */
final class LimitedHeaders extends DefaultHttpHeaders {

    /** Maximum number of fields of a response. */
    static final int MAX_FIELDS = 128;

    private int fields;

    private LimitedHeaders(DefaultHttpHeadersFactory validation) {
        super(validation.getNameValidator(), validation.getValueValidator());
    }

    /** Returns a factory of limited headers with the checks of a given one. */
    static HttpHeadersFactory factory(DefaultHttpHeadersFactory validation) {
        return new HttpHeadersFactory() {
            @Override
            public HttpHeaders newHeaders() {
                return new LimitedHeaders(validation);
            }

            @Override
            public HttpHeaders newEmptyHeaders() {
                return new LimitedHeaders(validation);
            }
        };
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        count();
        return super.add(name, value);
    }

    @Override
    public HttpHeaders add(String name, Object value) {
        count();
        return super.add(name, value);
    }

    private void count() {
        fields++;
        if (fields > MAX_FIELDS) {
            throw new TooLongHttpHeaderException("more than " + MAX_FIELDS + " header fields");
        }
    }
}
