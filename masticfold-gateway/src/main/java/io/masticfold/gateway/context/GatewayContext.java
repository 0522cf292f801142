package io.masticfold.gateway.context;

import io.masticfold.core.directory.TargetRecord;
import io.masticfold.core.telemetry.Telemetry;
import io.masticfold.core.time.PauseGuard;
import io.masticfold.core.time.Scheduler;
import io.masticfold.gateway.http.HttpClient;
import io.masticfold.gateway.log.RateLimitedLog;
import io.masticfold.gateway.protocol.PlatformProtocol;
import io.masticfold.gateway.settings.GatewaySettings;
import io.masticfold.gateway.store.PlatformView;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

/**
 * Holds the services and state shared by all parts of the request path.
 *
 * @param settingsReference current settings of this gateway, replaced as a whole when they change
 * @param protocol header names, data formats and calls of the platform
 * @param client sends requests to servers
 * @param scheduler clock and timers of the event loop
 * @param pauseGuard holds decisions back after a pause of the process until the view has been read again
 * @param view local view of the platform: configuration, targets and peers
 * @param log rate-limited structured log
 * @param telemetry metrics
 * @param leavingTargets told each target that says in an answer that it leaves
 */
public record GatewayContext(
        AtomicReference<GatewaySettings> settingsReference,
        PlatformProtocol protocol,
        HttpClient client,
        Scheduler scheduler,
        PauseGuard pauseGuard,
        PlatformView view,
        RateLimitedLog log,
        Telemetry telemetry,
        Consumer<TargetRecord> leavingTargets) {

    /** Returns the current settings. */
    public GatewaySettings settings() {
        return settingsReference.get();
    }
}
