package io.masticfold.platform.json;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses and formats socket addresses of a numeric IP address and a port. Host names are rejected, so that parsing
 * never triggers a DNS lookup.
 */
public final class AddressSupport {

    static final String ACCEPTED = "an IP number and port, ip:port with port 1 to 65535";
    static final InetSocketAddress PLACEHOLDER = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);

    private static final Pattern ADDRESS = Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+]):(\\d{1,5})");
    private static final int MAX_PORT = 65_535;
    private static final int MAX_OCTET = 255;

    private AddressSupport() {}

    /** Parses an address; returns empty if the text is not a valid address. */
    public static Optional<InetSocketAddress> parse(String text) {
        Matcher matcher = ADDRESS.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        String host = matcher.group(1);
        int port = Integer.parseInt(matcher.group(2));
        if (port < 1 || port > MAX_PORT || !validOctets(host)) {
            return Optional.empty();
        }
        try {
            return Optional.of(new InetSocketAddress(InetAddress.getByName(host), port));
        } catch (UnknownHostException e) {
            return Optional.empty();
        }
    }

    /** Formats an address as {@code ip:port}. */
    public static String write(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (host.indexOf(':') < 0 ? host : '[' + host + ']') + ':' + address.getPort();
    }

    private static boolean validOctets(String host) {
        if (host.startsWith("[")) {
            return true;
        }
        for (String octet : host.split("\\.", -1)) {
            if (Integer.parseInt(octet) > MAX_OCTET) {
                return false;
            }
        }
        return true;
    }
}
