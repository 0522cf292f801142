package io.masticfold.platform.vm;

import java.util.List;

/** Result of reading the VM list. */
public sealed interface VmListReply {

    /**
     * The VMs of the list.
     *
     * @param vms the VMs
     */
    record Listed(List<VmInfo> vms) implements VmListReply {

        /** Copies the VMs. */
        public Listed {
            vms = List.copyOf(vms);
        }
    }

    /**
     * The list could not be read.
     *
     * @param reason why the read failed
     */
    record Unavailable(String reason) implements VmListReply {}
}
