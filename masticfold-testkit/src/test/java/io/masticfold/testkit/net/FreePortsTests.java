package io.masticfold.testkit.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against listeners whose port was taken between the search for it and the bind. */
final class FreePortsTests {

    private static final int ADDRESSES = 200;
    private static final int LISTENERS = 2000;

    @Test
    void laterListenerTakesAPort() throws IOException {
        Set<InetSocketAddress> addresses = new HashSet<>();
        for (int i = 0; i < ADDRESSES; i++) {
            addresses.add(FreePorts.next());
        }
        List<ServerSocket> listeners = new ArrayList<>();
        try {
            for (int i = 0; i < LISTENERS; i++) {
                listeners.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
            }
            for (InetSocketAddress address : addresses) {
                try (ServerSocket late = new ServerSocket()) {
                    late.bind(address);
                }
            }
        } finally {
            for (ServerSocket listener : listeners) {
                listener.close();
            }
        }
        assertThat(addresses).hasSize(ADDRESSES);
    }
}
