package io.masticfold.gateway.settings;

import io.masticfold.core.rollout.RolloutSettings;
import io.masticfold.platform.json.AddressSupport;
import io.masticfold.platform.json.FieldReader;
import io.masticfold.platform.json.JsonDocument;
import io.masticfold.platform.json.JsonProblemException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Parses gateway settings from JSON with comments. */
public final class GatewaySettingsReader {

    private static final int MAX_PORT = 65535;
    private static final int MAX_MILLIS = 600_000;

    private GatewaySettingsReader() {}

    /**
     * Reads a settings file.
     *
     * @throws JsonProblemException listing all problems of the file
     * @throws IOException if the file cannot be read
     */
    public static GatewaySettings read(Path file) throws JsonProblemException, IOException {
        return read(file.toString(), Files.readString(file));
    }

    /**
     * Parses settings.
     *
     * @param source name of the file, for error messages
     * @throws JsonProblemException listing all problems of the text
     */
    public static GatewaySettings read(String source, String text) throws JsonProblemException {
        JsonDocument document = JsonDocument.parse(source, text);
        Optional<GatewaySettings> settings = fields(document.reader());
        document.check();
        return settings.orElseThrow();
    }

    /** Reads the addresses of seeds. The configured port is ignored: all gateways use the same peer port. */
    private static List<InetSocketAddress> seeds(FieldReader fields, InetSocketAddress peer) {
        List<InetSocketAddress> seeds = new ArrayList<>();
        for (String text : fields.texts("seeds")) {
            Optional<InetSocketAddress> address = AddressSupport.parse(text);
            if (address.isEmpty()) {
                fields.report("seeds", "accepted: ip:port, not " + text);
            } else {
                seeds.add(new InetSocketAddress(address.get().getAddress(), peer.getPort()));
            }
        }
        return seeds;
    }

    private static Optional<GatewaySettings> fields(FieldReader fields) {
        String node = fields.text("node");
        String zone = fields.text("zone");
        InetSocketAddress listen = fields.address("listen");
        InetSocketAddress readiness = fields.address("readiness");
        InetSocketAddress peer = fields.address("peer");
        List<InetSocketAddress> seeds = seeds(fields, peer);
        InetSocketAddress store = fields.address("store");
        int metricsPort = fields.integer("metricsPort", 0, MAX_PORT, 0);
        int graceMillis = (int) (fields.positive("graceSeconds") * 1000);
        int drainMillis = fields.integer("drainMillis", 1, MAX_MILLIS);
        double retryRatio = fields.positive("retryRatio");
        double retryExtra = fields.positive("retryExtra");
        int retryWindowMillis = (int) (fields.positive("retryWindowSeconds") * 1000);
        double coldFactor = fields.positive("coldFactor");
        double coldSlack = fields.positive("coldSlack");
        double hedgeRatio = hedgeRatio(fields);
        Optional<RolloutSettings> rollout = rollout(fields);
        return fields.build(() -> new GatewaySettings(
                node,
                zone,
                listen,
                readiness,
                peer,
                seeds,
                store,
                metricsPort,
                Duration.ofMillis(graceMillis),
                Duration.ofMillis(drainMillis),
                retryRatio,
                retryExtra,
                Duration.ofMillis(retryWindowMillis),
                coldFactor,
                coldSlack,
                hedgeRatio,
                rollout));
    }

    private static Optional<RolloutSettings> rollout(FieldReader fields) {
        return fields.object("rollout").flatMap(rollout -> {
            double share = rollout.positive("exposeShare");
            double slack = rollout.positive("exposeSlack");
            int delayMillis = rollout.integer("rollbackMillis", 1, MAX_MILLIS);
            if (share > 1) {
                rollout.report("exposeShare", "accepted: above 0, at most 1");
            }
            return rollout.build(() -> new RolloutSettings(share, slack, Duration.ofMillis(delayMillis)));
        });
    }

    private static double hedgeRatio(FieldReader fields) {
        double ratio = fields.has("hedgeRatio") ? fields.positive("hedgeRatio") : 0;
        if (ratio > GatewaySettings.MAX_HEDGE_RATIO) {
            fields.report("hedgeRatio", "accepted: above 0, at most " + GatewaySettings.MAX_HEDGE_RATIO);
        }
        return ratio;
    }
}
