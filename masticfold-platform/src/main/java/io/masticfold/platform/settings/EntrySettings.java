package io.masticfold.platform.settings;

import java.net.InetSocketAddress;

/**
 * Settings of an entry.
 *
 * @param name name of the process, unique in the deployment
 * @param zone availability zone of its VM
 * @param region region of its VM
 * @param listen listen address for callers
 * @param admin listen address of the admin endpoint: health, metrics and status
 * @param objectApi address of the object API
 * @param vmList address of the VM list
 * @param sharedSecret secret shared by entries and agents, at least 16 characters
 * @param threads number of event loops for callers, 1 to 64
 * @param drainDelayMillis delay between reporting not ready and rejecting new requests, in milliseconds, 0 to 60,000
 * @param maxConnections maximum number of connections from callers, 1 to 100,000
 */
public record EntrySettings(
        String name,
        String zone,
        String region,
        InetSocketAddress listen,
        InetSocketAddress admin,
        InetSocketAddress objectApi,
        InetSocketAddress vmList,
        String sharedSecret,
        int threads,
        int drainDelayMillis,
        int maxConnections) {

    /** Default number of event loops. */
    public static final int DEFAULT_THREADS = 4;

    /** Default delay between reporting not ready and rejecting new requests, in milliseconds. */
    public static final int DEFAULT_DRAIN_DELAY_MILLIS = 2_000;

    /** Default maximum number of connections from callers. */
    public static final int DEFAULT_MAX_CONNECTIONS = 4_096;

    static final int MAX_THREADS = 64;
    static final int MAX_DRAIN_DELAY_MILLIS = 60_000;
    static final int MAX_CONNECTIONS = 100_000;

    /** Validates the settings. */
    public EntrySettings {
        SettingsSupport.checkName("name", name);
        SettingsSupport.checkName("zone", zone);
        SettingsSupport.checkName("region", region);
        SettingsSupport.checkSecret(sharedSecret);
        SettingsSupport.checkRange("threads", threads, 1, MAX_THREADS);
        SettingsSupport.checkRange("drainDelayMillis", drainDelayMillis, 0, MAX_DRAIN_DELAY_MILLIS);
        SettingsSupport.checkRange("maxConnections", maxConnections, 1, MAX_CONNECTIONS);
    }

    @Override
    public String toString() {
        return "EntrySettings[name=" + name + ", zone=" + zone + ", listen=" + listen + ", admin=" + admin + ']';
    }
}
