package io.masticfold.testkit.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Hands out loopback ports on which a process can listen later, and again after a restart. They lie below the range
 * from which the system takes ports of its own choice, and in a block that this process reserves by listening on its
 * first port, so that neither another socket nor another run of the tests takes them meanwhile.
 */
public final class FreePorts {

    private static final int FIRST_PORT = 20_000;
    private static final int END_PORT = 32_768;
    private static final int BLOCK_SIZE = 64;
    private static final int BLOCKS = (END_PORT - FIRST_PORT) / BLOCK_SIZE;

    /** Sockets that reserve the blocks of this process, for as long as it lives. */
    private static final List<ServerSocket> RESERVATIONS = new ArrayList<>();

    private static int nextPort;
    private static int endOfBlock;

    private FreePorts() {}

    /**
     * Returns an address that nothing listens on and that was not returned before in this process.
     *
     * @throws IOException if all blocks are reserved
     */
    public static synchronized InetSocketAddress next() throws IOException {
        while (true) {
            if (nextPort == endOfBlock) {
                reserveBlock();
            }
            InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), nextPort++);
            if (free(address)) {
                return address;
            }
        }
    }

    private static void reserveBlock() throws IOException {
        int offset = ThreadLocalRandom.current().nextInt(BLOCKS);
        for (int i = 0; i < BLOCKS; i++) {
            int first = FIRST_PORT + (offset + i) % BLOCKS * BLOCK_SIZE;
            ServerSocket reservation = new ServerSocket();
            try {
                reservation.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), first), 1);
                RESERVATIONS.add(reservation);
                nextPort = first + 1;
                endOfBlock = first + BLOCK_SIZE;
                return;
            } catch (IOException e) {
                // Another process has reserved the block.
                reservation.close();
            }
        }
        throw new IOException("all blocks of ports from " + FIRST_PORT + " to " + (END_PORT - 1) + " are reserved");
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
