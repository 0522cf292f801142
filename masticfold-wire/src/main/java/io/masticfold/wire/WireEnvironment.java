package io.masticfold.wire;

import io.masticfold.core.config.ConfigReplica;
import io.masticfold.core.config.SpecCodec;
import io.masticfold.core.telemetry.Telemetry;
import io.masticfold.core.time.TimeSource;

/**
 * Holds what every link of a process shares.
 *
 * @param identity identity of this process
 * @param secret secret of the deployment
 * @param config configuration of this process
 * @param codec codec of the configuration objects
 * @param quota source and receiver of quota fields
 * @param time time source
 * @param telemetry counters
 */
public record WireEnvironment(
        WireIdentity identity,
        SharedSecret secret,
        ConfigReplica config,
        SpecCodec codec,
        QuotaExchange quota,
        TimeSource time,
        Telemetry telemetry) {}
