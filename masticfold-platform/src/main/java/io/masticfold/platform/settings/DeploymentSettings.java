package io.masticfold.platform.settings;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;

/**
 * Settings of a local deployment for the {@code dev} command.
 *
 * @param objectApi address of the object API
 * @param vmList address of the VM list
 * @param sharedSecret secret shared by entries and agents, at least 16 characters
 * @param entries entries of the deployment, at least one, with distinct names
 * @param callers caller keys in plain text by workspace; for examples only, since a real deployment stores digests
 * @param samples sample request body, as JSON text, by pipeline
 */
public record DeploymentSettings(
        InetSocketAddress objectApi,
        InetSocketAddress vmList,
        String sharedSecret,
        List<DeploymentEntry> entries,
        Map<String, String> callers,
        Map<String, String> samples) {

    /** Validates the settings. */
    public DeploymentSettings {
        SettingsSupport.checkSecret(sharedSecret);
        entries = List.copyOf(entries);
        callers = Map.copyOf(callers);
        samples = Map.copyOf(samples);
        if (entries.isEmpty()) {
            throw new IllegalArgumentException("entries must name at least one entry");
        }
        if (entries.stream().map(DeploymentEntry::name).distinct().count() != entries.size()) {
            throw new IllegalArgumentException("entries must have different names");
        }
    }

    @Override
    public String toString() {
        return "DeploymentSettings[objectApi=" + objectApi + ", vmList=" + vmList + ", entries=" + entries + ']';
    }
}
