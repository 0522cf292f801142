package io.masticfold.testkit.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.masticfold.testkit.Http;
import io.masticfold.testkit.object.CallKind;
import io.masticfold.testkit.object.ObjectApiFault;
import io.masticfold.testkit.object.ObjectApiStandIn;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class TcpRelayTests {

    private static final InetSocketAddress ANY = new InetSocketAddress("127.0.0.1", 0);
    private static final String LIST = "/v1/objects?since=0";

    private final ObjectApiStandIn api = new ObjectApiStandIn(ANY);
    private TcpRelay relay;
    private Http http;

    @BeforeEach
    void start() throws IOException {
        api.start();
        relay = new TcpRelay(ANY, api.address());
        relay.start();
        http = new Http(relay);
    }

    @AfterEach
    void stop() {
        relay.stop();
        api.stop();
    }

    /** Guards against a relay that still passes bytes when closed, or none after it is opened again. */
    @Test
    void closesAndOpens() throws Exception {
        assertThat(http.send("GET", LIST, "").statusCode()).isEqualTo(200);
        relay.close();
        assertThatThrownBy(() -> http.send("GET", LIST, "")).isInstanceOf(IOException.class);
        relay.open();
        assertThat(http.send("GET", LIST, "").statusCode()).isEqualTo(200);
    }

    /** Guards against a cut that leaves a waiting call open. A write, because the client repeats a cut read. */
    @Test
    void cutsOpenConnections() {
        api.fault(ObjectApiFault.DELAY_BEFORE_MILLIS, 60_000);
        CompletableFuture<HttpResponse<String>> write =
                http.sendAsync("PUT", "/v1/objects/zone/a", "{\"changeId\":\"c\",\"spec\":{}}", "If-Match", "0");
        while (api.calls(CallKind.PUT) == 0 && !write.isDone()) {
            Thread.onSpinWait();
        }
        relay.cut();
        assertThatThrownBy(() -> write.get(9, TimeUnit.SECONDS)).hasCauseInstanceOf(IOException.class);
    }

    /** Guards against held bytes that are lost instead of delivered late. */
    @Test
    void holdsBytes() throws Exception {
        relay.hold(true);
        CompletableFuture<HttpResponse<String>> held = http.sendAsync("GET", LIST, "");
        assertThat(api.calls(CallKind.LIST)).isZero();
        assertThat(held).isNotDone();
        relay.hold(false);
        assertThat(held.get(9, TimeUnit.SECONDS).statusCode()).isEqualTo(200);
    }
}
