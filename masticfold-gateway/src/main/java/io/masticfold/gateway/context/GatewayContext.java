package io.masticfold.gateway.context;

import io.masticfold.core.telemetry.Telemetry;
import io.masticfold.core.time.Scheduler;
import io.masticfold.gateway.http.HttpClient;
import io.masticfold.gateway.log.RateLimitedLog;
import io.masticfold.gateway.protocol.PlatformProtocol;
import io.masticfold.gateway.settings.GatewaySettings;
import io.masticfold.gateway.store.PlatformView;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Holds what every part of the request path uses.
 *
 * @param settingsInForce settings of this gateway, replaced as a whole when they change
 * @param protocol names, formats and calls of the platform
 * @param client sends requests to servers
 * @param scheduler time and timers of the event loop
 * @param view what is known of the platform
 * @param log decision log
 * @param telemetry counters
 */
public record GatewayContext(
        AtomicReference<GatewaySettings> settingsInForce,
        PlatformProtocol protocol,
        HttpClient client,
        Scheduler scheduler,
        PlatformView view,
        RateLimitedLog log,
        Telemetry telemetry) {

    /** Returns the settings in force. */
    public GatewaySettings settings() {
        return settingsInForce.get();
    }
}
