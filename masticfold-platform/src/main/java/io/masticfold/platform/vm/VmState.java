package io.masticfold.platform.vm;

/** States what the VM list says of a VM. The list lags: it is a hint, never proof of death. */
public enum VmState {
    LIVE,
    LEAVING;
}
