package io.masticfold.core.model;

/**
 * Describes an availability zone.
 *
 * @param name name of the availability zone
 * @param region name of the region that the availability zone belongs to
 * @param state whether operators let the availability zone accept new work
 */
public record Zone(String name, String region, ZoneState state) implements ConfigSpec {

    /** Validates the names. */
    public Zone {
        SpecChecks.checkName("zone", name);
        SpecChecks.checkName("region", region);
    }

    /** Returns a copy of this availability zone with another state. */
    public Zone withState(ZoneState newState) {
        return new Zone(name, region, newState);
    }

    @Override
    public ObjectKind kind() {
        return ObjectKind.ZONE;
    }
}
