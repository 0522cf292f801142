package io.masticfold.gateway.protocol;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;

/** Supplies the names, formats and calls of a platform. Implementations decide nothing. */
public interface PlatformProtocol {

    /** Returns the names of the headers. */
    HeaderNames headers();

    /** Returns the path of the readiness probe. */
    String readinessPath();

    /** Decodes the headers of a caller's request. */
    CallerMetadata decodeCaller(HttpHeaders headers);

    /** Decodes the load that a target states with its answer. */
    Optional<TargetLoadReport> decodeLoad(HttpHeaders headers);

    /** Returns the calls to the object store. */
    StoreDialect store();

    /** Returns the calls to stage servers. */
    StageDialect stages();
}
