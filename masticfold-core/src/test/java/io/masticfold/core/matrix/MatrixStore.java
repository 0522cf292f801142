package io.masticfold.core.matrix;

import io.masticfold.core.claim.Claim;
import io.masticfold.core.claim.ClaimKey;
import io.masticfold.core.claim.ClaimReply;
import io.masticfold.core.claim.ClaimStore;
import io.masticfold.core.claim.VersionedClaim;
import io.masticfold.core.config.ConfigObject;
import io.masticfold.core.config.ObjectKey;
import io.masticfold.core.model.ConfigSpec;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** Stores claims and configuration objects; can be down, be slow, and lose the answer to an applied write. */
final class MatrixStore {

    private static final Duration LATENCY = Duration.ofMillis(2);
    /** Exceeds the timeout of a claim operation, so that a slow write is applied after its timeout. */
    private static final Duration SLOW = Duration.ofMillis(700);

    private final MatrixWorld world;
    private final Map<ClaimKey, VersionedClaim> claims = new HashMap<>();
    private final Map<ObjectKey, ConfigObject> objects = new LinkedHashMap<>();
    private long revision;
    final List<ConfigObject> history = new ArrayList<>();
    long downUntilNanos;
    long slowUntilNanos;
    int losses;

    MatrixStore(MatrixWorld world) {
        this.world = world;
    }

    boolean down() {
        return downUntilNanos > world.clock.nanoTime();
    }

    private Duration latency() {
        return slowUntilNanos > world.clock.nanoTime() ? SLOW : LATENCY;
    }

    List<ConfigObject> objects() {
        return List.copyOf(objects.values());
    }

    /** Writes an object by conditional update; the reply is the current object, or null if there is no answer. */
    void put(ObjectKey key, long expected, String changeId, ConfigSpec spec, Consumer<@Nullable ConfigObject> reply) {
        if (down()) {
            reply.accept(null);
            return;
        }
        boolean lost = losses > 0;
        losses -= lost ? 1 : 0;
        world.clock.schedule(latency(), () -> {
            ConfigObject current = objects.get(key);
            boolean match = (current == null ? 0 : current.version()) == expected;
            if (match || world.off(Mutation.CONFIG_CONDITIONAL_UPDATE)) {
                current = new ConfigObject(key, ++revision, changeId, spec);
                objects.put(key, current);
                history.add(current);
            }
            ConfigObject answer = current;
            if (lost) {
                world.clock.schedule(Duration.ofMillis(500), () -> reply.accept(null));
            } else {
                reply.accept(answer);
            }
        });
    }

    /** Returns a claim store client for an entry. */
    ClaimStore client(MatrixEntry entry) {
        return new Client(entry);
    }

    private final class Client implements ClaimStore {

        private final MatrixEntry entry;
        private @Nullable String fingerprint;

        Client(MatrixEntry entry) {
            this.entry = entry;
        }

        @Override
        public boolean available() {
            return !down();
        }

        @Override
        public Duration retryAfter() {
            return down() ? Duration.ofSeconds(1) : Duration.ZERO;
        }

        @Override
        public void read(ClaimKey key, Duration timeout, Consumer<ClaimReply> reply) {
            Duration latency = latency();
            if (down() || latency.compareTo(timeout) > 0) {
                world.clock.schedule(
                        down() ? Duration.ZERO : timeout,
                        () -> reply.accept(new ClaimReply.Unavailable(Duration.ofSeconds(1))));
                return;
            }
            world.clock.schedule(latency, () -> {
                VersionedClaim current = seen(claims.get(key));
                reply.accept(current == null ? new ClaimReply.Absent() : new ClaimReply.Found(current));
            });
        }

        @Override
        public void write(ClaimKey key, long expected, Claim claim, Duration timeout, Consumer<ClaimReply> reply) {
            fingerprint = claim.fingerprint();
            if (claim.result() == null) {
                world.reached(Step.CLAIM, new Spot(entry, world.agents.get(0)), MatrixWorld.MAIN);
            }
            if (down()) {
                world.clock.schedule(
                        Duration.ZERO, () -> reply.accept(new ClaimReply.Unavailable(Duration.ofSeconds(1))));
                return;
            }
            boolean lost = losses > 0;
            losses -= lost ? 1 : 0;
            Duration latency = latency();
            if (!lost && latency.compareTo(timeout) <= 0) {
                world.clock.schedule(latency, () -> reply.accept(apply(key, expected, claim)));
                return;
            }
            world.clock.schedule(latency, () -> apply(key, expected, claim));
            world.clock.schedule(timeout, () -> reply.accept(unread(claim, expected)));
        }

        private ClaimReply unread(Claim claim, long expected) {
            return world.off(Mutation.CLAIM_READ_BACK)
                    ? new ClaimReply.Found(new VersionedClaim(claim, expected + 1))
                    : new ClaimReply.Lost();
        }

        private ClaimReply apply(ClaimKey key, long expected, Claim claim) {
            VersionedClaim current = claims.get(key);
            boolean conflict = (current == null ? 0 : current.version()) != expected;
            if (conflict && !world.off(Mutation.CLAIM_CONDITIONAL_UPDATE)) {
                return new ClaimReply.Conflict(seen(current));
            }
            VersionedClaim written = new VersionedClaim(claim, ++revision);
            claims.put(key, written);
            return new ClaimReply.Found(written);
        }

        private @Nullable VersionedClaim seen(@Nullable VersionedClaim current) {
            if (current == null || fingerprint == null || !world.off(Mutation.FINGERPRINT_CHECK)) {
                return current;
            }
            Claim claim = current.claim();
            return new VersionedClaim(
                    new Claim(
                            claim.attempt(),
                            claim.target(),
                            claim.agent(),
                            fingerprint,
                            claim.createdMillis(),
                            claim.result()),
                    current.version());
        }
    }
}
