package io.masticfold.core.resume;

import io.masticfold.core.directory.TargetRecord;

/**
 * States which software version the next target of a stream must have.
 *
 * @param kind whether a version is required
 * @param version the required version; empty unless one is required
 */
public record VersionRequirement(Kind kind, String version) {

    /** No event has been forwarded to the caller; any target will do. */
    public static final VersionRequirement NONE = new VersionRequirement(Kind.NONE, "");

    /** The stream was begun at one of several versions, and it is not known at which. */
    public static final VersionRequirement UNKNOWN = new VersionRequirement(Kind.UNKNOWN, "");

    /** Returns the requirement of exactly one version. */
    public static VersionRequirement exactly(String version) {
        return new VersionRequirement(Kind.EXACTLY, version);
    }

    /** Returns whether a target may serve the stream. */
    public boolean allows(TargetRecord target) {
        return kind.allows(version, target);
    }

    /** Kinds of requirements. */
    public enum Kind {
        NONE {
            @Override
            boolean allows(String _version, TargetRecord _target) {
                return true;
            }
        },
        EXACTLY {
            @Override
            boolean allows(String version, TargetRecord target) {
                return target.softwareVersion().equals(version);
            }
        },
        UNKNOWN {
            @Override
            boolean allows(String _version, TargetRecord _target) {
                return false;
            }
        };

        abstract boolean allows(String version, TargetRecord target);
    }
}
