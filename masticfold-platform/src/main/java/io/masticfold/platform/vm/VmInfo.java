package io.masticfold.platform.vm;

import java.net.InetSocketAddress;

/**
 * A VM in the VM list.
 *
 * @param name name of the process that runs on the VM
 * @param role role of the process, for example {@code entry}
 * @param zone availability zone
 * @param address address of the process for clients
 * @param admin address of the admin endpoint
 * @param state state according to the list
 */
public record VmInfo(
        String name, String role, String zone, InetSocketAddress address, InetSocketAddress admin, VmState state) {

    /** Role of an entry. */
    public static final String ENTRY = "entry";

    /** Returns whether the process is an entry. */
    public boolean entry() {
        return ENTRY.equals(role);
    }
}
