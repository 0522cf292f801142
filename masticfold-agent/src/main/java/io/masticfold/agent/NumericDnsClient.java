package io.masticfold.agent;

import io.activej.dns.IDnsClient;
import io.activej.dns.protocol.DnsQuery;
import io.activej.dns.protocol.DnsResponse;
import io.activej.promise.Promise;
import java.net.UnknownHostException;

/** Resolves numeric addresses only; the agent looks up no names. */
final class NumericDnsClient implements IDnsClient {

    @Override
    public Promise<DnsResponse> resolve(DnsQuery query) {
        DnsResponse numeric = IDnsClient.resolveFromQuery(query);
        return numeric != null
                ? Promise.of(numeric)
                : Promise.ofException(new UnknownHostException("not a numeric address: " + query.getDomainName()));
    }

    @Override
    public void close() {
        // Holds no resources.
    }
}
