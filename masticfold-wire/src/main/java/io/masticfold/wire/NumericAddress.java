package io.masticfold.wire;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;

/** Parses numeric socket addresses without name resolution. */
public final class NumericAddress {

    private NumericAddress() {}

    /**
     * Parses an address.
     *
     * @param text an address of the form {@code ip:port}; an IPv6 address is enclosed in brackets
     * @throws IllegalArgumentException if the text does not have this form
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        InetAddress ip = colon <= 0 ? null : NetUtil.createInetAddressFromIpAddressString(text.substring(0, colon));
        if (ip == null) {
            throw new IllegalArgumentException("not a numeric address ip:port: '" + text + "'");
        }
        return new InetSocketAddress(ip, Integer.parseInt(text.substring(colon + 1)));
    }
}
