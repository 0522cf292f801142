package io.masticfold.platform.http;

import io.activej.dns.IDnsClient;
import io.activej.dns.protocol.DnsProtocol;
import io.activej.dns.protocol.DnsQuery;
import io.activej.dns.protocol.DnsQueryException;
import io.activej.dns.protocol.DnsResponse;
import io.activej.dns.protocol.DnsTransaction;
import io.activej.promise.Promise;

/** DNS client that resolves numeric addresses only and sends no queries. */
public final class NumericDnsClient implements IDnsClient {

    @Override
    public Promise<DnsResponse> resolve(DnsQuery query) {
        DnsResponse numeric = IDnsClient.resolveFromQuery(query);
        if (numeric != null) {
            return Promise.of(numeric);
        }
        DnsTransaction transaction = DnsTransaction.of((short) 0, query);
        return Promise.ofException(
                new DnsQueryException(DnsResponse.ofFailure(transaction, DnsProtocol.ResponseErrorCode.NAME_ERROR)));
    }

    @Override
    public void close() {
        // Holds no resources.
    }
}
