package io.masticfold.cli.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/** Finds free loopback ports below the range that the system gives to outgoing connections. */
final class FreePorts {

    private static final int FIRST = 23_000;
    private static final int LAST = 31_999;
    private static final AtomicInteger NEXT =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 37 % (LAST - FIRST)));

    private FreePorts() {}

    /** Returns an address that nothing listens on and that was not returned before in this process. */
    static InetSocketAddress next() throws IOException {
        for (int tries = FIRST; tries <= LAST; tries++) {
            int port = FIRST + NEXT.getAndIncrement() % (LAST - FIRST + 1);
            InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
            if (free(address)) {
                return address;
            }
        }
        throw new IOException("no free port from " + FIRST + " to " + LAST);
    }

    private static boolean free(InetSocketAddress address) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(address);
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
