package io.masticfold.platform.settings;

import java.net.InetSocketAddress;

/**
 * Names one entry of a local deployment.
 *
 * @param name name of the process
 * @param zone availability zone
 * @param region region
 * @param listen address for callers
 * @param admin address for operators
 */
public record DeploymentEntry(
        String name, String zone, String region, InetSocketAddress listen, InetSocketAddress admin) {

    /** Checks the names. */
    public DeploymentEntry {
        SettingsSupport.checkName("name", name);
        SettingsSupport.checkName("zone", zone);
        SettingsSupport.checkName("region", region);
    }
}
