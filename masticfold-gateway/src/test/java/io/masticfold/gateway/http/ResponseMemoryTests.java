package io.masticfold.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against memory that grows with the number of responses without end. */
final class ResponseMemoryTests {

    private static final int LIMIT = 10_000;
    private static final int CHUNK = 100;

    private final ResponseMemory memory = new ResponseMemory(LIMIT);

    private static ByteBuf chunk() {
        return Unpooled.wrappedBuffer(new byte[CHUNK]);
    }

    @Test
    void aThousandResponsesStayWithinTheLimitOfAll() {
        List<ResponseBody> bodies = new ArrayList<>();
        int refused = 0;
        for (int i = 0; i < 1000; i++) {
            ResponseBody body = new ResponseBody(memory);
            bodies.add(body);
            refused += body.append(chunk()) ? 0 : 1;
            assertThat(memory.reservedBytes()).isLessThanOrEqualTo(LIMIT);
        }

        assertThat(refused).isEqualTo(1000 - LIMIT / (CHUNK + ResponseBody.CHUNK_OVERHEAD_BYTES));
        bodies.forEach(ResponseBody::release);
        bodies.forEach(ResponseBody::release);
        assertThat(memory.reservedBytes()).isZero();
    }

    @Test
    void oneResponseStaysWithinItsOwnLimit() {
        ResponseBody body = new ResponseBody(new ResponseMemory(Long.MAX_VALUE / 2));
        ByteBuf half = Unpooled.wrappedBuffer(new byte[ResponseBody.MAX_BYTES / 2]);

        assertThat(body.append(half)).isTrue();
        assertThat(body.append(half)).isTrue();
        assertThat(body.append(chunk())).isFalse();
        assertThat(body.toByteArray()).hasSize(ResponseBody.MAX_BYTES);
    }

    @Test
    void aLimitWithoutRoomIsRejected() {
        assertThatThrownBy(() -> new ResponseMemory(0))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("maxBytes");
    }
}
