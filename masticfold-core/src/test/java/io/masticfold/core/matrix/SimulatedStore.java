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
final class SimulatedStore {

    private static final Duration LATENCY = Duration.ofMillis(2);
    /** Exceeds the timeout of a claim operation, so that a slow write is applied after its timeout. */
    private static final Duration SLOW_LATENCY = Duration.ofMillis(700);

    private final Simulation simulation;
    private final Map<ClaimKey, VersionedClaim> claims = new HashMap<>();
    private final Map<ObjectKey, ConfigObject> objects = new LinkedHashMap<>();
    private long revision;
    final List<ConfigObject> history = new ArrayList<>();
    long downUntilNanos;
    long slowUntilNanos;
    int answersToLose;

    SimulatedStore(Simulation simulation) {
        this.simulation = simulation;
    }

    boolean down() {
        return downUntilNanos > simulation.clock.nanoTime();
    }

    private Duration latency() {
        return slowUntilNanos > simulation.clock.nanoTime() ? SLOW_LATENCY : LATENCY;
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
        boolean lost = answersToLose > 0;
        answersToLose -= lost ? 1 : 0;
        simulation.clock.schedule(latency(), () -> {
            ConfigObject current = objects.get(key);
            boolean match = (current == null ? 0 : current.version()) == expected;
            if (match || simulation.isDisabled(Mutation.CONFIG_CONDITIONAL_UPDATE)) {
                current = new ConfigObject(key, ++revision, changeId, spec);
                objects.put(key, current);
                history.add(current);
            }
            ConfigObject answer = current;
            if (lost) {
                simulation.clock.schedule(Duration.ofMillis(500), () -> reply.accept(null));
            } else {
                reply.accept(answer);
            }
        });
    }

    /** Returns a claim store client for an entry. */
    ClaimStore claimStoreFor(SimulatedEntry entry) {
        return new EntryClaimStore(entry);
    }

    private final class EntryClaimStore implements ClaimStore {

        private final SimulatedEntry entry;
        private @Nullable String lastFingerprint;

        EntryClaimStore(SimulatedEntry entry) {
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
                simulation.clock.schedule(
                        down() ? Duration.ZERO : timeout,
                        () -> reply.accept(new ClaimReply.Unavailable(Duration.ofSeconds(1))));
                return;
            }
            simulation.clock.schedule(latency, () -> {
                VersionedClaim current = claimAsRead(claims.get(key));
                reply.accept(current == null ? new ClaimReply.Absent() : new ClaimReply.Stored(current));
            });
        }

        @Override
        public void write(ClaimKey key, long expected, Claim claim, Duration timeout, Consumer<ClaimReply> reply) {
            lastFingerprint = claim.fingerprint();
            if (claim.result() == null) {
                simulation.stepReached(
                        Step.CLAIM, new FaultSite(entry, simulation.agents.get(0)), Simulation.ID_PREFIX_UNDER_TEST);
            }
            if (down()) {
                simulation.clock.schedule(
                        Duration.ZERO, () -> reply.accept(new ClaimReply.Unavailable(Duration.ofSeconds(1))));
                return;
            }
            boolean lost = answersToLose > 0;
            answersToLose -= lost ? 1 : 0;
            Duration latency = latency();
            if (!lost && latency.compareTo(timeout) <= 0) {
                simulation.clock.schedule(latency, () -> reply.accept(apply(key, expected, claim)));
                return;
            }
            simulation.clock.schedule(latency, () -> apply(key, expected, claim));
            simulation.clock.schedule(timeout, () -> reply.accept(lostReply(claim, expected)));
        }

        private ClaimReply lostReply(Claim claim, long expected) {
            return simulation.isDisabled(Mutation.CLAIM_READ_BACK)
                    ? new ClaimReply.Stored(new VersionedClaim(claim, expected + 1))
                    : new ClaimReply.Lost();
        }

        private ClaimReply apply(ClaimKey key, long expected, Claim claim) {
            VersionedClaim current = claims.get(key);
            boolean conflict = (current == null ? 0 : current.version()) != expected;
            if (conflict && !simulation.isDisabled(Mutation.CLAIM_CONDITIONAL_UPDATE)) {
                return new ClaimReply.Conflict(claimAsRead(current));
            }
            VersionedClaim written = new VersionedClaim(claim, ++revision);
            claims.put(key, written);
            return new ClaimReply.Stored(written);
        }

        private @Nullable VersionedClaim claimAsRead(@Nullable VersionedClaim current) {
            if (current == null || lastFingerprint == null || !simulation.isDisabled(Mutation.FINGERPRINT_CHECK)) {
                return current;
            }
            Claim claim = current.claim();
            return new VersionedClaim(
                    new Claim(
                            claim.attempt(),
                            claim.target(),
                            claim.agent(),
                            lastFingerprint,
                            claim.createdMillis(),
                            claim.result()),
                    current.version());
        }
    }
}
