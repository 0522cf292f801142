package io.masticfold.testkit;

import io.masticfold.core.model.TargetKind;
import io.masticfold.testkit.http.StandIn;
import io.masticfold.testkit.http.TestkitEvent;
import io.masticfold.testkit.object.ObjectApiStandIn;
import io.masticfold.testkit.targets.TargetProfile;
import io.masticfold.testkit.targets.TargetStandIn;
import io.masticfold.testkit.vm.VmListStandIn;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CountDownLatch;

/** Runs one stand-in as a process of its own: {@code <kind> <ip:port> [--option value]...}. */
public final class StandInMain {

    private static final int EXIT_USAGE = 2;
    private static final int FIRST_OPTION = 2;

    private StandInMain() {}

    /**
     * Starts the stand-in and waits until the process is ended.
     *
     * @param args kind of the stand-in, address to listen on, and options
     */
    public static void main(String[] args) throws IOException, InterruptedException {
        StandIn standIn;
        try {
            standIn = create(args);
        } catch (IllegalArgumentException e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_USAGE);
            return;
        }
        standIn.start();
        TestkitEvent.STARTED.log(TestkitEvent.LOGGER, args[0], standIn.hostPort());
        new CountDownLatch(1).await();
    }

    static StandIn create(String[] args) {
        if (args.length < FIRST_OPTION) {
            throw new IllegalArgumentException(
                    "usage: object-api|vm-list|target <ip:port> [--kind engine|stage|service] [--name NAME] [--slots N]"
                            + " [--queue N] [--cold-slots N] [--cold-millis N] [--mean-millis N] [--tokens N]"
                            + " [--lag-millis N] [--checks-fencing true|false] [--seed N]");
        }
        InetSocketAddress address = address(args[1]);
        Map<String, String> options = options(args);
        return switch (args[0]) {
            case "object-api" -> new ObjectApiStandIn(address);
            case "vm-list" -> new VmListStandIn(address);
            case "target" -> new TargetStandIn(address, profile(options));
            default -> throw new IllegalArgumentException("unknown stand-in: '" + args[0] + "'");
        };
    }

    private static InetSocketAddress address(String hostPort) {
        int colon = hostPort.lastIndexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException("address must be ip:port: '" + hostPort + "'");
        }
        return new InetSocketAddress(hostPort.substring(0, colon), Integer.parseInt(hostPort.substring(colon + 1)));
    }

    private static Map<String, String> options(String[] args) {
        Map<String, String> options = new HashMap<>();
        for (int i = FIRST_OPTION; i < args.length; i += 2) {
            if (!args[i].startsWith("--") || i + 1 == args.length) {
                throw new IllegalArgumentException("expected --option value: '" + args[i] + "'");
            }
            options.put(args[i].substring(2), args[i + 1]);
        }
        return options;
    }

    private static TargetProfile profile(Map<String, String> options) {
        TargetKind kind =
                TargetKind.valueOf(options.getOrDefault("kind", "service").toUpperCase(Locale.ROOT));
        TargetProfile initial = TargetProfile.of(options.getOrDefault("name", "target"), kind);
        return new TargetProfile(
                initial.name(),
                kind,
                (int) number(options, "slots", initial.slots()),
                (int) number(options, "queue", initial.queueLimit()),
                (int) number(options, "cold-slots", initial.coldSlots()),
                number(options, "cold-millis", initial.coldMillis()),
                number(options, "mean-millis", initial.meanMillis()),
                (int) number(options, "tokens", initial.tokens()),
                number(options, "lag-millis", initial.lagMillis()),
                Boolean.parseBoolean(options.getOrDefault("checks-fencing", "true")),
                number(options, "seed", initial.seed()));
    }

    private static long number(Map<String, String> options, String name, long initial) {
        return options.containsKey(name) ? Long.parseLong(options.get(name)) : initial;
    }
}
