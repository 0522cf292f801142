package io.masticfold.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against requests that are confused with others, and repetitions that are not recognized. */
final class RequestFingerprintTests {

    private static String of(String method, String host, String uri, String workspace, String body) {
        return RequestFingerprint.of(method, host, uri, workspace, body.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void repetitionIsNotRecognized() {
        assertThat(of("GET", "a.example", "/x/1", "w1", "body"))
                .isEqualTo(of("GET", "a.example", "/x/1", "w1", "body"));
    }

    @ParameterizedTest
    @CsvSource({
        "POST, a.example, /x/1, w1, body",
        "GET, b.example, /x/1, w1, body",
        "GET, a.example, /x/1?q=1, w1, body",
        "GET, a.example, /x/1, w2, body",
        "GET, a.example, /x/1, w1, bodY",
        "GET, a.example, /x/, 1w1, body",
        "GET, a.example, /x/1, w1b, ody",
        "GET, a.example, /x/1, w1, ''"
    })
    void otherRequestIsTakenForTheSame(String method, String host, String uri, String workspace, String body) {
        assertThat(of(method, host, uri, workspace, body)).isNotEqualTo(of("GET", "a.example", "/x/1", "w1", "body"));
    }
}
