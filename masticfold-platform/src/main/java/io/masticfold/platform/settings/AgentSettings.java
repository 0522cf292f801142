package io.masticfold.platform.settings;

import java.net.InetSocketAddress;

/**
 * Settings of an agent.
 *
 * @param name name of the process, unique in the deployment
 * @param zone availability zone of the agent
 * @param region region of the agent
 * @param target name of the target that the agent serves
 * @param listen listen address for connections from entries
 * @param admin listen address of the admin endpoint: health and metrics
 * @param targetAddress address of the target
 * @param sharedSecret secret shared by entries and agents, at least 16 characters
 * @param drainMillis maximum wait for work in progress at shutdown, in milliseconds, 0 to 600,000
 */
public record AgentSettings(
        String name,
        String zone,
        String region,
        String target,
        InetSocketAddress listen,
        InetSocketAddress admin,
        InetSocketAddress targetAddress,
        String sharedSecret,
        int drainMillis) {

    /** Default maximum wait for work in progress at shutdown, in milliseconds. */
    public static final int DEFAULT_DRAIN_MILLIS = 30_000;

    static final int MAX_DRAIN_MILLIS = 600_000;

    /** Validates the settings. */
    public AgentSettings {
        SettingsSupport.checkName("name", name);
        SettingsSupport.checkName("zone", zone);
        SettingsSupport.checkName("region", region);
        SettingsSupport.checkName("target", target);
        SettingsSupport.checkSecret(sharedSecret);
        SettingsSupport.checkRange("drainMillis", drainMillis, 0, MAX_DRAIN_MILLIS);
    }

    @Override
    public String toString() {
        return "AgentSettings[name=" + name + ", zone=" + zone + ", target=" + target + ", listen=" + listen + ']';
    }
}
