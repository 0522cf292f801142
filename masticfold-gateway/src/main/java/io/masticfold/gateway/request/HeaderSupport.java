package io.masticfold.gateway.request;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Copies end-to-end headers and drops those of a single connection (hop-by-hop headers). */
final class HeaderSupport {

    private static final Set<String> HOP_BY_HOP = Set.of(
            HttpHeaderNames.CONNECTION.toString(),
            "keep-alive",
            HttpHeaderNames.PROXY_AUTHENTICATE.toString(),
            HttpHeaderNames.PROXY_AUTHORIZATION.toString(),
            "proxy-connection",
            HttpHeaderNames.TE.toString(),
            HttpHeaderNames.TRAILER.toString(),
            HttpHeaderNames.TRANSFER_ENCODING.toString(),
            HttpHeaderNames.CONTENT_LENGTH.toString(),
            HttpHeaderNames.UPGRADE.toString(),
            HttpHeaderNames.EXPECT.toString());

    private HeaderSupport() {}

    /** Returns a copy without hop-by-hop headers, headers named by {@code Connection}, and the given ones. */
    static HttpHeaders endToEnd(HttpHeaders source, List<AsciiString> excluded) {
        Set<String> removed = new HashSet<>(HOP_BY_HOP);
        excluded.forEach(name -> removed.add(name.toString().toLowerCase(Locale.ROOT)));
        for (String value : source.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",")) {
                removed.add(name.trim().toLowerCase(Locale.ROOT));
            }
        }
        HttpHeaders copy = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        for (Map.Entry<String, String> header : source) {
            if (!removed.contains(header.getKey().toLowerCase(Locale.ROOT))) {
                copy.add(header.getKey(), header.getValue());
            }
        }
        return copy;
    }
}
