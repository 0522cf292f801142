package io.masticfold.platform.settings;

import java.net.InetSocketAddress;

/**
 * Settings of one entry in a local deployment.
 *
 * @param name name of the process
 * @param zone availability zone
 * @param region region
 * @param listen listen address for callers
 * @param admin listen address of the admin endpoint
 */
public record DeploymentEntry(
        String name, String zone, String region, InetSocketAddress listen, InetSocketAddress admin) {

    /** Validates the names. */
    public DeploymentEntry {
        SettingsSupport.checkName("name", name);
        SettingsSupport.checkName("zone", zone);
        SettingsSupport.checkName("region", region);
    }
}
