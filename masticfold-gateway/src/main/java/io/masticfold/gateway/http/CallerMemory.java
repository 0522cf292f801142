package io.masticfold.gateway.http;

import io.masticfold.core.memory.MemoryAccount;
import io.netty.util.internal.PlatformDependent;
import java.util.function.Consumer;

/**
 * Memory account of the process, as the connections of callers use it.
 *
 * @param account counts what is held
 * @param onShed called for each connection that is closed because its caller does not read
 */
public record CallerMemory(MemoryAccount account, Consumer<ShedReader> onShed) {

    /** Returns an empty account with the limit of this process. */
    public static MemoryAccount accountOfProcess() {
        return new MemoryAccount(
                MemoryAccount.limit(Runtime.getRuntime().maxMemory(), PlatformDependent.maxDirectMemory()));
    }
}
