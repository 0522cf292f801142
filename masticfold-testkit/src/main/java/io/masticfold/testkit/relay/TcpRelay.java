package io.masticfold.testkit.relay;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.consumer.ChannelConsumers;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.csp.supplier.ChannelSuppliers;
import io.activej.eventloop.Eventloop;
import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.masticfold.testkit.http.StandIn;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletionException;
import org.jspecify.annotations.Nullable;

/**
 * Passes connections on to one address. The connections can be cut, new ones closed at once, and the bytes held, which
 * looks to both sides like a network that loses every packet.
 */
public final class TcpRelay implements StandIn {

    private final InetSocketAddress destination;
    private final Eventloop eventloop =
            Eventloop.builder().withThreadName("relay").build();
    private final Set<ITcpSocket> sockets = new HashSet<>();
    private volatile InetSocketAddress address;
    private @Nullable SimpleServer server;
    private boolean closed;
    private boolean holding;
    private SettablePromise<Void> released = new SettablePromise<>();

    /**
     * Creates a relay.
     *
     * @param address address to listen on; port 0 chooses a free one
     * @param destination address to pass connections on to
     */
    public TcpRelay(InetSocketAddress address, InetSocketAddress destination) {
        this.address = address;
        this.destination = destination;
    }

    @Override
    public void start() throws IOException {
        eventloop.keepAlive(true);
        Thread thread = new Thread(eventloop, "relay");
        thread.setDaemon(true);
        thread.start();
        try {
            eventloop.submit(this::listen).join();
        } catch (CompletionException e) {
            throw new IOException("cannot listen on " + address, e.getCause());
        }
    }

    @Override
    public void stop() {
        eventloop
                .submit(() -> {
                    if (server != null) {
                        server.close();
                    }
                    cutAll();
                })
                .join();
        eventloop.keepAlive(false);
        eventloop.execute(eventloop::breakEventloop);
    }

    @Override
    public InetSocketAddress address() {
        return address;
    }

    /** Cuts the open connections; new ones are still passed on. */
    public void cut() {
        eventloop.submit(this::cutAll).join();
    }

    /** Cuts the open connections and closes new ones at once, until opened again. */
    public void close() {
        eventloop
                .submit(() -> {
                    closed = true;
                    cutAll();
                })
                .join();
    }

    /** Passes new connections on again. */
    public void open() {
        eventloop.submit(() -> closed = false).join();
    }

    /** Holds all bytes in both directions, or lets them go on. */
    public void hold(boolean hold) {
        eventloop
                .submit(() -> {
                    holding = hold;
                    if (!hold) {
                        SettablePromise<Void> waiting = released;
                        released = new SettablePromise<>();
                        waiting.set(null);
                    }
                })
                .join();
    }

    private void listen() throws IOException {
        SimpleServer created = SimpleServer.builder(eventloop, this::accept)
                .withListenAddress(address)
                .build();
        created.listen();
        address = created.getBoundAddresses().get(0);
        server = created;
    }

    private void accept(ITcpSocket caller) {
        if (closed) {
            caller.close();
            return;
        }
        sockets.add(caller);
        TcpSocket.connect(eventloop, destination)
                .whenException(_failure -> end(caller))
                .whenResult(callee -> join(caller, callee));
    }

    private void join(ITcpSocket caller, ITcpSocket callee) {
        sockets.add(callee);
        pass(caller, callee);
        pass(callee, caller);
    }

    private void pass(ITcpSocket from, ITcpSocket to) {
        ChannelSupplier<ByteBuf> bytes = ChannelSuppliers.ofSocket(from)
                .mapAsync(buffer -> whenReleased().map(_done -> buffer));
        bytes.streamTo(ChannelConsumers.ofSocket(to)).whenComplete(() -> {
            end(from);
            end(to);
        });
    }

    private Promise<Void> whenReleased() {
        return holding ? released : Promise.complete();
    }

    private void end(ITcpSocket socket) {
        sockets.remove(socket);
        socket.close();
    }

    private void cutAll() {
        List.copyOf(sockets).forEach(this::end);
    }
}
