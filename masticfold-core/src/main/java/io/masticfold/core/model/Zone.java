package io.masticfold.core.model;

/**
 * Describes an availability zone.
 *
 * @param name name of the availability zone
 * @param region region it belongs to
 * @param state whether it takes new work
 */
public record Zone(String name, String region, ZoneState state) implements ConfigSpec {

    /** Checks the names. */
    public Zone {
        ModelSupport.checkName("zone", name);
        ModelSupport.checkName("region", region);
    }

    /** Returns the same availability zone in another state. */
    public Zone withState(ZoneState newState) {
        return new Zone(name, region, newState);
    }

    @Override
    public ObjectKind kind() {
        return ObjectKind.ZONE;
    }
}
