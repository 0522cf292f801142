package io.masticfold.gateway.http;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Detects a response head that consists of the first part of one head and the whole of another: a server has stopped
 * within a second copy of a response. The status is then that of the copy, the fields are those of the other.
 */
final class MergedHeads {

    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [0-9]{3}");

    private MergedHeads() {}

    /** Returns whether the reason phrase or the value of a field contains a status line. */
    static boolean detectedIn(HttpResponse response) {
        return containsStatusLine(response.status().reasonPhrase())
                || response.headers().entries().stream()
                        .map(Map.Entry::getValue)
                        .anyMatch(MergedHeads::containsStatusLine);
    }

    private static boolean containsStatusLine(String text) {
        return STATUS_LINE.matcher(text).find();
    }
}
