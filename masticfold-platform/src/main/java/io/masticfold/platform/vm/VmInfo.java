package io.masticfold.platform.vm;

import java.net.InetSocketAddress;

/**
 * Describes one VM of the VM list.
 *
 * @param name name of the process on it
 * @param role role of the process, for example {@code entry}
 * @param zone availability zone
 * @param address address of the process for its clients
 * @param admin address of the process for operators
 * @param state what the list says of it
 */
public record VmInfo(
        String name, String role, String zone, InetSocketAddress address, InetSocketAddress admin, VmState state) {

    /** Role of entries. */
    public static final String ENTRY = "entry";

    /** Returns whether the process is an entry. */
    public boolean entry() {
        return ENTRY.equals(role);
    }
}
