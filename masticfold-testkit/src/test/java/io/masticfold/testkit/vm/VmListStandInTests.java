package io.masticfold.testkit.vm;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.masticfold.testkit.Http;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class VmListStandInTests {

    private static final Vm VM =
            new Vm("vm-1", "entry", "ar-centro-a", "127.0.0.1:22010", "127.0.0.1:22020", VmState.LIVE);

    private final VmListStandIn list = new VmListStandIn(new InetSocketAddress("127.0.0.1", 0));
    private Http http;

    @BeforeEach
    void start() throws IOException {
        list.start();
        http = new Http(list);
    }

    @AfterEach
    void stop() {
        list.stop();
    }

    /** Guards against a change that is missing or shown in the wrong state. */
    @Test
    void showsChanges() throws Exception {
        list.put(VM);
        assertThat(vms().at("/0/state").textValue()).isEqualTo("live");
        String change = VM.withState(VmState.LEAVING).json().toString();
        assertThat(http.send("PUT", "/v1/vms/vm-1", change).statusCode()).isEqualTo(200);
        assertThat(vms().at("/0/state").textValue()).isEqualTo("leaving");
        http.send("DELETE", "/v1/vms/vm-1", "");
        assertThat(vms()).isEmpty();
    }

    /** Guards against a list that tests take for exact: a change within the lag must not show. */
    @Test
    void lagsBehind() throws Exception {
        list.fault(VmListFault.LAG_MILLIS, 600_000);
        list.put(VM);
        assertThat(vms()).isEmpty();
        list.clearFaults();
        assertThat(vms()).hasSize(1);
    }

    private JsonNode vms() throws Exception {
        return Http.json(http.send("GET", "/v1/vms", "")).get("vms");
    }
}
