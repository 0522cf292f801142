package io.masticfold.wire;

import io.masticfold.core.config.ConfigReplica;
import io.masticfold.core.config.SpecCodec;
import io.masticfold.core.telemetry.Telemetry;
import io.masticfold.core.time.TimeSource;

/**
 * Objects shared by all links of a process.
 *
 * @param identity identity of this process
 * @param secret shared secret of the deployment
 * @param config configuration replica of this process
 * @param codec codec of the configuration objects
 * @param quota supplies and receives the quota fields of heartbeats
 * @param time time source
 * @param telemetry counts events
 */
public record WireEnvironment(
        WireIdentity identity,
        SharedSecret secret,
        ConfigReplica config,
        SpecCodec codec,
        QuotaExchange quota,
        TimeSource time,
        Telemetry telemetry) {}
