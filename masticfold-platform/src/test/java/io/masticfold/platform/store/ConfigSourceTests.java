package io.masticfold.platform.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.config.ConfigReplica;
import io.masticfold.core.config.ConfigSnapshot;
import io.masticfold.core.model.ZoneState;
import io.masticfold.platform.json.JsonSpecCodec;
import java.time.Duration;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ConfigSourceTests {

    private static final String IN = "{\"region\":\"r\",\"state\":\"in\"}";
    private static final String OUT = "{\"region\":\"r\",\"state\":\"out\"}";

    /** A configuration must become active within 3 s; the source may use part of that time after an outage. */
    private static final Duration CATCH_UP = Duration.ofSeconds(2);

    private final FakeObjectStore store = new FakeObjectStore();
    private final ManualScheduler scheduler = new ManualScheduler();
    private final ConfigReplica replica = new ConfigReplica();
    private final ConfigSource source = new ConfigSource(store, new JsonSpecCodec(), replica, scheduler, new Random(7));

    @BeforeEach
    void start() {
        store.write("zone", "a", IN);
        source.start();
    }

    @Test
    void loadsAndFollowsChanges() {
        assertThat(source.loaded()).isTrue();

        store.write("zone", "a", OUT);
        store.write("claim", "c", "{}");

        assertThat(state("a")).isEqualTo(ZoneState.OUT);
        assertThat(replica.snapshot().objects())
                .as("claims are not part of the configuration")
                .hasSize(1);
    }

    /** Guards against an outage that clears the configuration, and against changes missed during an outage. */
    @Test
    void keepsServingThroughAnOutageAndCatchesUp() {
        store.fault(FakeObjectStore.Fault.DOWN);
        scheduler.advance(Duration.ofMinutes(10));
        assertThat(source.reachable()).isFalse();
        assertThat(state("a")).isEqualTo(ZoneState.IN);

        store.fault(FakeObjectStore.Fault.NONE);
        store.write("zone", "a", OUT);
        scheduler.advance(CATCH_UP);

        assertThat(state("a")).isEqualTo(ZoneState.OUT);
        assertThat(source.reachable()).isTrue();
    }

    /** Guards against an invalid object that removes the previous valid version. */
    @Test
    void skipsAnInvalidObject() {
        store.write("zone", "a", "{\"region\":\"r\",\"state\":\"closed\"}");
        store.write("zone", "b", IN);

        assertThat(state("a")).isEqualTo(ZoneState.IN);
        assertThat(state("b")).isEqualTo(ZoneState.IN);
    }

    /** Guards against an object that stays active forever because its deletion was compacted. */
    @Test
    void dropsObjectsThatACompactionRemoved() {
        store.write("zone", "b", IN);
        store.fault(FakeObjectStore.Fault.DOWN);
        store.fault(FakeObjectStore.Fault.NONE);
        store.delete("zone", "b", store.revision(), Duration.ZERO, _reply -> {});
        store.write("zone", "a", OUT);
        store.compact();

        scheduler.advance(CATCH_UP);

        assertThat(replica.snapshot().zone("b")).isEmpty();
        assertThat(state("a")).isEqualTo(ZoneState.OUT);
    }

    /** Guards against a configuration that reverts when the revision of the store goes backwards. */
    @Test
    void neverRevertsWhenTheRevisionGoesBack() {
        long before = store.revision();
        store.write("zone", "a", OUT);
        ConfigSnapshot inForce = replica.snapshot();
        store.resetTo(before - 1);
        scheduler.advance(CATCH_UP);
        assertThat(replica.snapshot()).isEqualTo(inForce);

        store.write("zone", "c", IN);
        scheduler.advance(CATCH_UP);

        assertThat(state("a")).isEqualTo(ZoneState.OUT);
        assertThat(state("c")).isEqualTo(ZoneState.IN);
    }

    @Test
    void followsNothingAfterStop() {
        source.stop();
        store.write("zone", "a", OUT);

        assertThat(state("a")).isIn(ZoneState.IN, ZoneState.OUT);
        ConfigSnapshot stopped = replica.snapshot();
        store.write("zone", "a", IN);
        scheduler.advance(CATCH_UP);
        assertThat(replica.snapshot()).isSameAs(stopped);
    }

    private ZoneState state(String zone) {
        return replica.snapshot().zone(zone).orElseThrow().state();
    }
}
