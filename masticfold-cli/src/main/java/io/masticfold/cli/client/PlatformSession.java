package io.masticfold.cli.client;

import io.masticfold.cli.command.CommandException;
import io.masticfold.cli.command.ExitCode;
import io.masticfold.core.telemetry.Telemetry;
import io.masticfold.platform.http.HttpCall;
import io.masticfold.platform.http.HttpChannel;
import io.masticfold.platform.http.HttpLimits;
import io.masticfold.platform.http.HttpResult;
import io.masticfold.platform.store.HttpObjectStore;
import io.masticfold.platform.store.PageReply;
import io.masticfold.platform.store.StoreLimits;
import io.masticfold.platform.store.StoreReply;
import io.masticfold.platform.vm.VmInfo;
import io.masticfold.platform.vm.VmListClient;
import io.masticfold.platform.vm.VmListReply;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

/** Makes blocking calls for one command. */
public final class PlatformSession implements ObjectAccess, AutoCloseable {

    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration STATUS_TIMEOUT = Duration.ofSeconds(1);

    /** Bounds a wait in case a reply never arrives, which the channel itself rules out. */
    private static final Duration GUARD = Duration.ofSeconds(30);

    private final HttpObjectStore store;
    private final HttpChannel channel = new HttpChannel("status-calls", HttpLimits.CALLS);

    /** Opens a session with an object API. */
    public PlatformSession(InetSocketAddress objectApi) {
        this.store = new HttpObjectStore(objectApi, StoreLimits.DEFAULT, Telemetry.NONE, new SecureRandom());
        store.start();
        channel.start();
    }

    @Override
    public StoreReply get(String kind, String name) throws CommandException {
        return await(reply -> store.get(kind, name, CALL_TIMEOUT, reply));
    }

    @Override
    public StoreReply put(String kind, String name, long expectedVersion, String changeId, String spec)
            throws CommandException {
        return await(reply -> store.put(kind, name, expectedVersion, changeId, spec, CALL_TIMEOUT, reply));
    }

    /**
     * Lists all objects of some kinds.
     *
     * @throws CommandException if the object API cannot be reached
     */
    public PageReply.Page list(Collection<String> kinds) throws CommandException {
        PageReply reply = await(done -> store.list(kinds, 0, CALL_TIMEOUT, done));
        if (reply instanceof PageReply.Page page) {
            return page;
        }
        throw new CommandException(ExitCode.UNAVAILABLE, "object API cannot be read: " + reply);
    }

    /**
     * Lists the VMs.
     *
     * @throws CommandException if the VM list cannot be reached
     */
    public List<VmInfo> vms(InetSocketAddress vmList) throws CommandException {
        VmListReply reply = await(done -> new VmListClient(channel, vmList).list(CALL_TIMEOUT, done));
        if (reply instanceof VmListReply.Listed listed) {
            return listed.vms();
        }
        throw new CommandException(ExitCode.UNAVAILABLE, "VM list cannot be read: " + reply);
    }

    /** Reads a path of several processes at once, in the order of their addresses. */
    public List<HttpResult> readAll(List<InetSocketAddress> addresses, String path) throws CommandException {
        List<CompletableFuture<HttpResult>> results = addresses.stream()
                .map(address -> future((Consumer<HttpResult> reply) ->
                        channel.send(HttpCall.get(address, path), STATUS_TIMEOUT, reply)))
                .toList();
        List<HttpResult> answers = new ArrayList<>();
        for (CompletableFuture<HttpResult> result : results) {
            answers.add(join(result));
        }
        return answers;
    }

    @Override
    public void close() {
        channel.stop();
        store.stop();
    }

    private static <T> T await(Consumer<Consumer<T>> call) throws CommandException {
        return join(future(call));
    }

    private static <T> CompletableFuture<T> future(Consumer<Consumer<T>> call) {
        CompletableFuture<T> future = new CompletableFuture<>();
        call.accept(future::complete);
        return future;
    }

    private static <T> T join(CompletableFuture<T> future) throws CommandException {
        try {
            return future.get(GUARD.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandException(ExitCode.FAILED, "interrupted", e);
        } catch (ExecutionException | TimeoutException e) {
            throw new CommandException(ExitCode.FAILED, "no reply: " + e, e);
        }
    }
}
