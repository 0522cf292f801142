package io.masticfold.gateway.protocol;

import io.masticfold.core.directory.TargetRecord;
import io.masticfold.core.error.MasticfoldException;
import io.masticfold.core.forward.ForwardConfig;
import io.masticfold.core.rollout.RolloutOrder;
import io.masticfold.core.rollout.RolloutState;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Encodes calls to the platform's object store and decodes its responses. */
public interface StoreDialect {

    /**
     * Returns the path and query of a call that lists objects.
     *
     * @param after name of the last object of the previous page, or null for the first page
     */
    String listUri(StoreKind kind, @Nullable String after);

    /** Returns the path and query of a call that waits for changes after a revision. */
    String watchUri(StoreKind kind, long revision, Duration wait);

    /** Returns the path under which objects of a kind are created. */
    String createUri(StoreKind kind);

    /** Returns the path of one object. */
    String objectUri(StoreKind kind, String name);

    /** Returns the path of the status of one object. */
    String statusUri(StoreKind kind, String name);

    /**
     * Decodes an order that moves a pool to another software version.
     *
     * @return empty if the object is malformed
     */
    Optional<RolloutOrder> decodeRollout(StoreObject object);

    /** Encodes a new state of an order, which is stored only if the order has not been changed since it was read. */
    byte[] encodeRolloutStatus(RolloutOrder order, RolloutState state);

    /** Encodes an object that names a prompt part that crashes targets. */
    byte[] encodeQuarantinedPart(String part);

    /** Encodes an object with a gateway's record of streams. */
    byte[] encodeStreamRecord(String name, StreamRecord record);

    /**
     * Decodes a gateway's record of streams.
     *
     * @return empty if the object is malformed
     */
    Optional<StreamRecord> decodeStreamRecord(StoreObject object);

    /** Encodes a new object that describes this gateway. */
    byte[] encodeGateway(GatewayAddress gateway);

    /** Encodes an object that describes this gateway and replaces one only if that has the given revision. */
    byte[] encodeGateway(GatewayAddress gateway, long replacedRevision);

    /**
     * Decodes a gateway's object.
     *
     * @return empty if the object does not describe a gateway
     */
    Optional<GatewayAddress> decodeGateway(StoreObject object);

    /**
     * Decodes the response to a list call.
     *
     * @throws MasticfoldException if the response is malformed
     */
    StorePage decodePage(byte[] body) throws MasticfoldException;

    /**
     * Decodes the response to a watch call.
     *
     * @throws MasticfoldException if the response is malformed
     */
    StorePage decodeChanges(byte[] body) throws MasticfoldException;

    /** Decodes the era of the store from the headers of a response; 0 if the store does not report it. */
    long decodeEra(HttpHeaders headers);

    /** Returns the name of the object that holds the current configuration. */
    String configurationName();

    /**
     * Decodes the configuration.
     *
     * @throws MasticfoldException if the object is malformed
     */
    ForwardConfig decodeConfiguration(StoreObject object) throws MasticfoldException;

    /**
     * Decodes an entry of the service directory.
     *
     * @return empty if the entry is malformed
     */
    Optional<TargetRecord> decodeTarget(StoreObject object);
}
