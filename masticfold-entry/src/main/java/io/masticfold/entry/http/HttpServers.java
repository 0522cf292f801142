package io.masticfold.entry.http;

import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpServer;
import io.activej.net.AbstractReactiveServer;
import io.activej.net.PrimaryServer;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.MasticfoldException;
import io.masticfold.entry.EntryEvent;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.slf4j.LoggerFactory;

/** HTTP servers of an entry for callers and operators. Each event loop runs on its own thread. */
public final class HttpServers {

    private static final Duration KEEP_ALIVE_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration READ_WRITE_TIMEOUT = Duration.ofSeconds(15);
    private static final int TIMEOUT_SECONDS = 5;

    private final List<Eventloop> loops = new ArrayList<>();
    private final List<Thread> threads = new ArrayList<>();
    private final List<AbstractReactiveServer> servers = new ArrayList<>();
    private final AtomicInteger openConnections = new AtomicInteger();
    private final Eventloop acceptor;
    private final int maxConnections;

    /**
     * Creates the servers without starting them.
     *
     * @param name prefix of the thread names
     * @param maxConnections limit of concurrent caller connections; excess connections are closed
     */
    public HttpServers(String name, int maxConnections) {
        this.maxConnections = maxConnections;
        this.acceptor = addLoop(name + "-accept");
    }

    /** Adds an event loop whose thread is started by {@link #start()}. */
    public Eventloop addLoop(String threadName) {
        Eventloop loop = Eventloop.builder().withThreadName(threadName).build();
        loop.keepAlive(true);
        loops.add(loop);
        threads.add(new Thread(loop, threadName));
        return loop;
    }

    /** Returns the event loop that accepts connections. */
    public Eventloop acceptor() {
        return acceptor;
    }

    /** Starts the threads of all event loops added so far. */
    public void start() {
        threads.forEach(Thread::start);
    }

    /**
     * Listens for callers and distributes their connections across the worker loops.
     *
     * @param address address to listen on
     * @param workers servlet of each worker loop
     * @param maxBodyBytes maximum size of a request body in bytes
     * @throws MasticfoldException if the address cannot be bound
     */
    public void listenForCallers(InetSocketAddress address, Map<Eventloop, AsyncServlet> workers, int maxBodyBytes)
            throws MasticfoldException {
        List<HttpServer> workerServers = new ArrayList<>();
        for (Map.Entry<Eventloop, AsyncServlet> worker : workers.entrySet()) {
            workerServers.add(callOn(worker.getKey(), () -> HttpServer.builder(worker.getKey(), worker.getValue())
                    .withKeepAliveTimeout(KEEP_ALIVE_TIMEOUT)
                    .withReadWriteTimeout(READ_WRITE_TIMEOUT)
                    .withMaxBodySize(maxBodyBytes)
                    .build()));
        }
        listen(() -> PrimaryServer.builder(acceptor, workerServers)
                .withListenAddress(address)
                .withAcceptFilter((_channel, _local, _remote, _ssl) -> connectionLimitReached(workerServers))
                .build());
        servers.addAll(workerServers);
    }

    /**
     * Listens for operators on the admin address.
     *
     * @throws MasticfoldException if the address cannot be bound
     */
    public void listenForAdmin(InetSocketAddress address, AsyncServlet servlet) throws MasticfoldException {
        listen(() -> HttpServer.builder(acceptor, servlet)
                .withListenAddress(address)
                .withKeepAliveTimeout(KEEP_ALIVE_TIMEOUT)
                .build());
    }

    /** Closes the servers and stops the event loops. */
    public void stop() throws InterruptedException {
        for (AbstractReactiveServer server : servers) {
            try {
                server.closeFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            } catch (ExecutionException | TimeoutException e) {
                EntryEvent.SERVER_CLOSE_FAILED.log(LoggerFactory.getLogger(HttpServers.class), e.toString());
            }
        }
        loops.forEach(loop -> loop.keepAlive(false));
        loops.forEach(loop -> loop.execute(loop::breakEventloop));
        for (Thread thread : threads) {
            thread.join(TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
        }
    }

    /**
     * Returns whether the connection limit is reached. Runs on the acceptor loop; the count of each worker lags by less
     * than one connection.
     */
    private boolean connectionLimitReached(List<HttpServer> workerServers) {
        int open =
                workerServers.stream().mapToInt(HttpServer::getConnectionsCount).sum();
        openConnections.set(open);
        return open >= maxConnections;
    }

    private void listen(Supplier<AbstractReactiveServer> builder) throws MasticfoldException {
        AbstractReactiveServer server = callOn(acceptor, () -> {
            AbstractReactiveServer built = builder.get();
            built.listen();
            return built;
        });
        servers.add(0, server);
    }

    private static <T> T callOn(Eventloop loop, Callable<T> action) throws MasticfoldException {
        CompletableFuture<T> done = new CompletableFuture<>();
        loop.execute(() -> {
            try {
                done.complete(action.call());
            } catch (Exception e) {
                done.completeExceptionally(e);
            }
        });
        try {
            return done.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new MasticfoldException(ErrorKind.INTERNAL, "interrupted while starting an HTTP server", e);
        } catch (ExecutionException | TimeoutException e) {
            throw new MasticfoldException(ErrorKind.INTERNAL, "cannot start an HTTP server: " + e.getCause(), e);
        }
    }
}
