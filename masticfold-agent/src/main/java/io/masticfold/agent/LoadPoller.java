package io.masticfold.agent;

import io.activej.bytebuf.ByteBuf;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.masticfold.core.error.MasticfoldException;
import io.masticfold.core.gate.TargetReport;
import io.masticfold.core.telemetry.Telemetry;
import io.masticfold.platform.http.NumericDnsClient;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Polls the target for its load report and passes each report to a consumer. At most one poll is in flight: the next
 * one is sent a fixed interval after the previous one completed, failed or timed out. Confined to the event loop.
 */
final class LoadPoller {

    private static final Logger LOGGER = LoggerFactory.getLogger(LoadPoller.class);
    private static final Duration INTERVAL = Duration.ofMillis(200);
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final int MAX_REPORT_BYTES = 64 * 1024;
    private static final int OK = 200;

    private final Eventloop eventloop;
    private final HttpClient client;
    private final String target;
    private final InetSocketAddress address;
    private final Telemetry telemetry;
    private final Consumer<TargetReport> reportConsumer;
    private @Nullable Boolean lastPollSucceeded;
    private boolean stopped;

    LoadPoller(
            Eventloop eventloop,
            String target,
            InetSocketAddress address,
            Telemetry telemetry,
            Consumer<TargetReport> receiver) {
        this.eventloop = eventloop;
        this.client = HttpClient.builder(eventloop, new NumericDnsClient())
                .withConnectTimeout(TIMEOUT)
                .withReadWriteTimeout(TIMEOUT)
                .withKeepAliveTimeout(TIMEOUT)
                .withForcedShutdown(true)
                .build();
        this.target = target;
        this.address = address;
        this.telemetry = telemetry;
        this.reportConsumer = receiver;
    }

    void start() {
        poll();
    }

    void stop() {
        stopped = true;
        client.stop();
    }

    private void poll() {
        if (stopped) {
            return;
        }
        String url = "http://" + address.getAddress().getHostAddress() + ':' + address.getPort() + "/v1/load";
        client.request(HttpRequest.get(url).build()).then(this::loadBody).subscribe((body, failure) -> {
            onResponse(body, failure);
            eventloop.delayBackground(INTERVAL, this::poll);
        });
    }

    private Promise<ByteBuf> loadBody(HttpResponse response) {
        return response.getCode() == OK
                ? response.loadBody(MAX_REPORT_BYTES)
                : Promise.ofException(new IllegalStateException("status " + response.getCode()));
    }

    private void onResponse(@Nullable ByteBuf body, @Nullable Exception failure) {
        if (stopped) {
            return;
        }
        if (body == null) {
            onPollFailed(String.valueOf(failure));
            return;
        }
        try {
            TargetReport report = LoadReportParser.parse(body.getString(StandardCharsets.UTF_8));
            if (!Boolean.TRUE.equals(lastPollSucceeded)) {
                AgentEvent.LOAD_REPORT_AVAILABLE.log(LOGGER, target, address, report.bootId());
            }
            lastPollSucceeded = true;
            reportConsumer.accept(report);
        } catch (MasticfoldException e) {
            onPollFailed(String.valueOf(e.getMessage()));
        }
    }

    private void onPollFailed(String reason) {
        telemetry.count("load_report_failed");
        if (!Boolean.FALSE.equals(lastPollSucceeded)) {
            AgentEvent.LOAD_REPORT_UNAVAILABLE.log(LOGGER, target, address, reason);
        }
        lastPollSucceeded = false;
    }
}
