package io.masticfold.platform.store;

import io.masticfold.core.claim.Claim;
import io.masticfold.core.claim.ClaimKey;
import io.masticfold.core.claim.ClaimReply;
import io.masticfold.core.claim.ClaimStore;
import io.masticfold.core.claim.VersionedClaim;
import io.masticfold.platform.event.PlatformEvent;
import io.masticfold.platform.json.JsonProblemException;
import java.time.Duration;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Claim store that keeps claims as objects of kind {@code claim} in the object API. */
public final class ObjectClaimStore implements ClaimStore {

    /** Object kind of claims. */
    public static final String KIND = "claim";

    private static final Logger LOG = LoggerFactory.getLogger(ObjectClaimStore.class);

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private final ObjectStore store;

    /** Creates a claim store that uses the given object store. */
    public ObjectClaimStore(ObjectStore store) {
        this.store = store;
    }

    @Override
    public boolean available() {
        return store.available();
    }

    @Override
    public Duration retryAfter() {
        return store.retryAfter();
    }

    @Override
    public void read(ClaimKey key, Duration timeout, Consumer<ClaimReply> reply) {
        store.get(KIND, key.objectName(), timeout, answer -> reply.accept(readReply(answer)));
    }

    @Override
    public void write(ClaimKey key, long expectedVersion, Claim claim, Duration timeout, Consumer<ClaimReply> reply) {
        String changeId = claim.attempt() + (claim.result() == null ? "" : ":completed");
        store.put(
                KIND,
                key.objectName(),
                expectedVersion,
                changeId,
                ClaimCodec.encode(claim),
                timeout,
                answer -> reply.accept(writeReply(claim, answer)));
    }

    private static ClaimReply readReply(StoreReply answer) {
        if (answer instanceof StoreReply.Found found) {
            return found(found.object());
        } else if (answer instanceof StoreReply.Absent) {
            return new ClaimReply.Absent();
        } else if (answer instanceof StoreReply.Unavailable unavailable) {
            return new ClaimReply.Unavailable(unavailable.retryAfter());
        }
        return new ClaimReply.Unavailable(RETRY_AFTER);
    }

    private static ClaimReply writeReply(Claim claim, StoreReply answer) {
        if (answer instanceof StoreReply.Written written) {
            return new ClaimReply.Stored(new VersionedClaim(claim, written.version()));
        } else if (answer instanceof StoreReply.Conflict conflict) {
            return conflict(conflict);
        } else if (answer instanceof StoreReply.Lost) {
            return new ClaimReply.Lost();
        } else if (answer instanceof StoreReply.Unavailable unavailable) {
            return new ClaimReply.Unavailable(unavailable.retryAfter());
        }
        // The store rejected the write permanently, for example because it is too large; it had no effect.
        return new ClaimReply.Unavailable(RETRY_AFTER);
    }

    private static ClaimReply conflict(StoreReply.Conflict conflict) {
        StoredObject current = conflict.current();
        if (current == null || current.deleted()) {
            return new ClaimReply.Conflict(null);
        }
        // A claim that cannot be decoded must not be treated as absent: the write had no effect, so nothing may run.
        return found(current) instanceof ClaimReply.Stored found
                ? new ClaimReply.Conflict(found.claim())
                : new ClaimReply.Unavailable(RETRY_AFTER);
    }

    private static ClaimReply found(StoredObject object) {
        if (object.spec() == null) {
            return new ClaimReply.Absent();
        }
        try {
            Claim claim = ClaimCodec.decode(object.name(), object.spec());
            return new ClaimReply.Stored(new VersionedClaim(claim, object.version()));
        } catch (JsonProblemException e) {
            PlatformEvent.CLAIM_MALFORMED.log(LOG, object.name(), object.version(), e.getMessage());
            return new ClaimReply.Unavailable(RETRY_AFTER);
        }
    }
}
