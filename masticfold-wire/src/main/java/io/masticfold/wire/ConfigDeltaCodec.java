package io.masticfold.wire;

import io.masticfold.core.config.ConfigObject;
import io.masticfold.core.config.ConfigSnapshot;
import io.masticfold.core.config.ObjectKey;
import io.masticfold.core.config.SpecCodec;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.MasticfoldException;
import io.masticfold.core.model.ConfigSpec;
import io.masticfold.core.model.ObjectKind;
import io.masticfold.wire.proto.ConfigDelta;
import io.masticfold.wire.proto.ConfigEntry;
import io.masticfold.wire.proto.Frame;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;

/**
 * Encodes and decodes configuration deltas. The last encoded delta is cached, because a change is usually sent over
 * many links with the same base revision. Thread-safe.
 */
final class ConfigDeltaCodec {

    /**
     * Cached encoding of a delta.
     *
     * @param snapshot snapshot that results from applying the delta
     * @param since base revision of the delta
     * @param frames frames that carry the delta
     */
    private record CachedDelta(ConfigSnapshot snapshot, long since, List<Frame> frames) {}

    private final SpecCodec codec;
    private final AtomicReference<@Nullable CachedDelta> lastDelta = new AtomicReference<>();

    ConfigDeltaCodec(SpecCodec codec) {
        this.codec = codec;
    }

    /**
     * Encodes the objects of a snapshot that are newer than a revision, in version order, so that a peer that receives
     * only part of the delta before the link is lost has no gap below its revision.
     *
     * @param snapshot the snapshot
     * @param since revision of the peer, 0 to encode all objects
     */
    List<Frame> encodeSince(ConfigSnapshot snapshot, long since) {
        CachedDelta cached = lastDelta.get();
        if (cached != null && cached.snapshot() == snapshot && cached.since() == since) {
            return cached.frames();
        }
        List<Frame> frames = encode(snapshot, since);
        lastDelta.set(new CachedDelta(snapshot, since, frames));
        return frames;
    }

    private List<Frame> encode(ConfigSnapshot snapshot, long since) {
        List<ConfigEntry> entries = snapshot.objects().stream()
                .filter(object -> object.version() > since)
                .sorted(Comparator.comparingLong(ConfigObject::version))
                .map(this::toEntry)
                .toList();
        List<Frame> frames = new ArrayList<>();
        ConfigDelta.Builder delta = ConfigDelta.newBuilder();
        int bytes = 0;
        for (ConfigEntry entry : entries) {
            int size = entry.getSerializedSize();
            if (delta.getObjectsCount() > 0 && bytes + size > WireLimits.DELTA_SPLIT_BYTES) {
                frames.add(toFrame(delta.setMore(true)));
                delta = ConfigDelta.newBuilder();
                bytes = 0;
            }
            delta.addObjects(entry);
            bytes += size;
        }
        frames.add(toFrame(delta));
        return List.copyOf(frames);
    }

    private static Frame toFrame(ConfigDelta.Builder delta) {
        return Frame.newBuilder().setConfigDelta(delta).build();
    }

    private ConfigEntry toEntry(ConfigObject object) {
        ConfigSpec spec = object.spec();
        return ConfigEntry.newBuilder()
                .setKind(object.key().kind().code())
                .setName(object.key().name())
                .setVersion(object.version())
                .setChangeId(object.changeId())
                .setDeleted(spec == null)
                .setSpec(spec == null ? "" : codec.encode(spec))
                .build();
    }

    /**
     * Decodes a configuration object.
     *
     * @throws MasticfoldException with kind {@code MALFORMED_REQUEST} if the object is invalid
     */
    ConfigObject decode(ConfigEntry entry) throws MasticfoldException {
        ObjectKind kind = ObjectKind.ofCode(entry.getKind())
                .orElseThrow(() -> new MasticfoldException(
                        ErrorKind.MALFORMED_REQUEST, "unknown object kind '" + entry.getKind() + "'"));
        ConfigSpec spec = entry.getDeleted() ? null : codec.decode(kind, entry.getName(), entry.getSpec());
        try {
            return new ConfigObject(
                    new ObjectKey(kind, entry.getName()), entry.getVersion(), entry.getChangeId(), spec);
        } catch (IllegalArgumentException e) {
            throw new MasticfoldException(ErrorKind.MALFORMED_REQUEST, e.getMessage(), e);
        }
    }
}
