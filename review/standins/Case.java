package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

/** Runs one case. Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run. */
abstract class Case {

    private static final AtomicLong ATTEMPTS = new AtomicLong(System.nanoTime());

    Record record;
    Path temporary;
    boolean trouble;

    static void main(Case tested, String[] arguments) {
        int code = 2;
        try {
            tested.record = new Record(Path.of(arguments[0]));
            tested.trouble = !"0".equals(System.getenv("TROUBLE"));
            tested.temporary = Files.createTempDirectory("review");
            tested.record.result("disruption: %s", tested.trouble ? "on" : "off");
            boolean broken = tested.run();
            tested.record.result("%s", broken ? "the rule was broken" : "the rule held");
            code = broken ? 1 : 0;
        } catch (Exception e) {
            e.printStackTrace();
        }
        deleteTemporary(tested.temporary);
        System.exit(code);
    }

    /** Deletes the settings and logs of the gateways, once these have ended. */
    private static void deleteTemporary(Path folder) {
        Gateway.closeAll();
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
            Files.delete(folder);
        } catch (IOException | NullPointerException e) {
            System.err.println("temporary files remain: " + e);
        }
    }

    /** Returns whether the rule was broken. */
    abstract boolean run() throws Exception;

    static String attempt() {
        return String.format("%016x", ATTEMPTS.incrementAndGet() * 0x9e3779b97f4a7c15L);
    }

    /** Returns one route of a configuration. */
    static String route(String name, String kind, String service, int timeoutMillis, int attempts, String more) {
        return "{\"name\":\"" + name + "\",\"host\":\"a.example\",\"path_prefix\":\"/" + name + "/\",\"kind\":\"" + kind
                + "\",\"timeout_ms\":" + timeoutMillis + ",\"target_latency_ms\":1000,\"priority\":1,\"service\":\""
                + service + "\",\"max_attempts\":" + attempts + ",\"public\":false" + more + "}";
    }

    static String config(long version, String routes, String services, String tenants) {
        return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[" + services
                + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"tenants\":[" + tenants + "]}";
    }

    /** Returns the entry of a server in the store. */
    static String entry(String service, String address, String version, String state, int coldMillis, int slots, long born) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"z1\",\"version\":\"" + version
                + "\",\"slots\":" + slots + ",\"state\":\"" + state + "\",\"cold_remaining_ms\":" + coldMillis
                + ",\"seq\":1,\"born\":" + born + "}";
    }
}
