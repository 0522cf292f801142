package io.masticfold.testkit.http;

import java.io.IOException;
import java.net.InetSocketAddress;

/** Runs a fake of a system outside this repository. */
public interface StandIn {

    /**
     * Starts listening.
     *
     * @throws IOException if the address cannot be bound
     */
    void start() throws IOException;

    /** Closes all connections and stops. */
    void stop();

    /** Returns the address it listens on; the port is known after the start. */
    InetSocketAddress address();

    /** Returns the address as {@code ip:port}. */
    default String hostPort() {
        return address().getAddress().getHostAddress() + ':' + address().getPort();
    }
}
