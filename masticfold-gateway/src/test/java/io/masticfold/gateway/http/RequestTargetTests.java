package io.masticfold.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Guards against targets that are written with other bytes than they were received with. */
final class RequestTargetTests {

    @Property
    void bytesAreTheSameOrRefused(@ForAll byte[] received) {
        String decoded = new String(received, StandardCharsets.ISO_8859_1);

        RequestTarget.decode(decoded).ifPresent(text -> assertThat(text.getBytes(StandardCharsets.UTF_8))
                .isEqualTo(received));
    }

    @Property
    void validTextIsNeverRefused(@ForAll String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);

        assertThat(RequestTarget.decode(new String(bytes, StandardCharsets.ISO_8859_1)))
                .hasValueSatisfying(written ->
                        assertThat(written.getBytes(StandardCharsets.UTF_8)).isEqualTo(bytes));
    }
}
