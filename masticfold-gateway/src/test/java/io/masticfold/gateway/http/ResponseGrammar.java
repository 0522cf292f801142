package io.masticfold.gateway.http;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Recognizes responses with a length, or without a frame, by the grammar of RFC 9112 written as expressions. */
final class ResponseGrammar {

    private static final Pattern HEAD = Pattern.compile(
            "HTTP/1\\.[01] ([1-5][0-9]{2})( [\\t -~\\x80-\\xff]*)?\\r\\n"
                    + "(([!#$%&'*+.^_`|~0-9A-Za-z-]+):[\\t -~\\x80-\\xff]*\\r\\n)*\\r\\n",
            Pattern.DOTALL);
    private static final Pattern LENGTH = Pattern.compile("(?i)\\r\\nContent-Length:([^\\r]*)\\r\\n");
    private static final Pattern CODING = Pattern.compile("(?i)\\r\\nTransfer-Encoding:");

    private ResponseGrammar() {}

    static boolean allows(String response) {
        Matcher head = HEAD.matcher(response);
        if (!head.lookingAt()
                || head.group(1).equals("101")
                || CODING.matcher(head.group()).find()) {
            return false;
        }
        if (head.group(1).startsWith("1")) {
            // What follows an interim response would have to be another head.
            return response.length() == head.end();
        }
        Matcher length = LENGTH.matcher(head.group());
        return !length.find() || length.group(1).strip().matches("[0-9]{1,15}");
    }
}
