package io.masticfold.cli.process;

/** Names of the small deployment of the process tests. */
final class SmallDeployment {

    static final String REGION = "test-region";
    static final String SECRET = "process-test-secret-0001";

    private SmallDeployment() {}
}
