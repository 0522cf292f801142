package io.masticfold.platform.vm;

import java.util.List;

/** Answers a read of the VM list. */
public sealed interface VmListReply {

    /**
     * Answers with the VMs of the list.
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
     * Answers that the list could not be read.
     *
     * @param reason what happened
     */
    record Unavailable(String reason) implements VmListReply {}
}
