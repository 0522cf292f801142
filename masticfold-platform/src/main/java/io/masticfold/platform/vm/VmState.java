package io.masticfold.platform.vm;

/** State of a VM according to the VM list. The list lags behind, so the state is a hint and not proof of a failure. */
public enum VmState {
    LIVE,
    LEAVING;
}
