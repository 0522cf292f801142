package io.masticfold.testkit.vm;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.masticfold.testkit.http.JsonSupport;

/**
 * Describes one VM.
 *
 * @param name name of the VM
 * @param role role of the process on it, for example {@code entry}
 * @param zone availability zone
 * @param address address of the process, {@code ip:port}
 * @param admin admin address of the process, {@code ip:port}
 * @param state whether it is leaving
 */
public record Vm(String name, String role, String zone, String address, String admin, VmState state) {

    /** Returns the same VM in another state. */
    public Vm withState(VmState newState) {
        return new Vm(name, role, zone, address, admin, newState);
    }

    ObjectNode json() {
        return JsonSupport.object()
                .put("name", name)
                .put("role", role)
                .put("zone", zone)
                .put("address", address)
                .put("admin", admin)
                .put("state", state.code());
    }
}
