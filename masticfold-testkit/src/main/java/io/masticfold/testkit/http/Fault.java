package io.masticfold.testkit.http;

/** Names a fault switch; implemented by one enum per stand-in. */
public interface Fault {

    /** Returns the name used in {@code PUT /v1/faults}. */
    String code();

    /** Returns the value in which the switch has no effect. */
    long initial();
}
