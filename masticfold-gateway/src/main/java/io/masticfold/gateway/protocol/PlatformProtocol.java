package io.masticfold.gateway.protocol;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;

/** Supplies the header names, data formats and calls of a platform. Implementations translate; they decide nothing. */
public interface PlatformProtocol {

    /** Returns the names of the headers. */
    HeaderNames headers();

    /** Returns the path of the readiness probe. */
    String readinessPath();

    /** Decodes the headers of a caller's request. */
    CallerMetadata decodeCaller(HttpHeaders headers);

    /** Decodes the API key of a caller's request; empty if missing. */
    String decodeApiKey(HttpHeaders headers);

    /** Decodes the load that a target reports in the headers of a response. */
    Optional<TargetLoadReport> decodeLoad(HttpHeaders headers);

    /** Decodes what a target says of itself in the head of a response; malformed values count as absent. */
    TargetSignals decodeSignals(int status, HttpHeaders headers);

    /** Returns the format of calls to the object store. */
    StoreDialect store();

    /** Returns the format of calls to stage servers. */
    StageDialect stages();
}
