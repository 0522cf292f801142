package io.masticfold.gateway.protocol;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.OptionalDouble;

/** Supplies the header names, data formats and calls of a platform. Implementations translate; they decide nothing. */
public interface PlatformProtocol {

    /** Returns the names of the headers. */
    HeaderNames headers();

    /** Returns the path of the readiness probe. */
    String readinessPath();

    /** Decodes the headers of a caller's request. */
    CallerMetadata decodeCaller(HttpHeaders headers);

    /** Decodes the load that a target reports in the headers of a response. */
    Optional<TargetLoadReport> decodeLoad(HttpHeaders headers);

    /** Decodes the limit on requests per second, from all gateways together, that a target names in a response. */
    OptionalDouble decodeLimit(HttpHeaders headers);

    /** Returns the format of calls to the object store. */
    StoreDialect store();

    /** Returns the format of calls to stage servers. */
    StageDialect stages();
}
