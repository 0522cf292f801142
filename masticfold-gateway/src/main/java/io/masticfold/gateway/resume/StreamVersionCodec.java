package io.masticfold.gateway.resume;

import io.masticfold.core.resume.StreamOrigin;
import io.masticfold.core.time.TimeSource;
import io.masticfold.gateway.peer.proto.BegunStream;
import io.masticfold.gateway.peer.proto.PoolVersions;
import io.masticfold.gateway.peer.proto.StreamVersions;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Converts origins of streams and software versions of pools to their form in messages, and back. */
final class StreamVersionCodec {

    private StreamVersionCodec() {}

    static StreamVersions.Builder encode(
            TimeSource time, Map<String, Set<String>> versionsByPool, Collection<StreamOrigin> streams) {
        StreamVersions.Builder message = StreamVersions.newBuilder();
        versionsByPool.forEach((pool, versions) ->
                message.addPools(PoolVersions.newBuilder().setPool(pool).addAllVersions(versions)));
        for (StreamOrigin stream : streams) {
            long ageMillis = Duration.ofNanos(time.nanoTime() - stream.nanos()).toMillis();
            message.addStreams(BegunStream.newBuilder()
                    .setAttempt(stream.attempt())
                    .setPool(stream.pool())
                    .setVersion(stream.version())
                    .setAgeMillis((int) Math.max(0, ageMillis)));
        }
        return message;
    }

    static List<StreamOrigin> decodeStreams(TimeSource time, StreamVersions message) {
        return message.getStreamsList().stream()
                .filter(stream ->
                        !stream.getAttempt().isEmpty() && !stream.getVersion().isEmpty())
                .map(stream -> new StreamOrigin(
                        stream.getAttempt(),
                        stream.getPool(),
                        stream.getVersion(),
                        time.nanoTime()
                                - Duration.ofMillis(stream.getAgeMillis()).toNanos()))
                .toList();
    }
}
