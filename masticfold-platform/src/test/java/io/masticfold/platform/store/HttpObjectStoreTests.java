package io.masticfold.platform.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.attempt.AttemptId;
import io.masticfold.core.attempt.Incarnation;
import io.masticfold.core.attempt.Payload;
import io.masticfold.core.claim.Claim;
import io.masticfold.core.claim.ClaimKey;
import io.masticfold.core.claim.ClaimReply;
import io.masticfold.core.claim.VersionedClaim;
import io.masticfold.core.telemetry.Telemetry;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HttpObjectStoreTests {

    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final Duration SHORT = Duration.ofMillis(100);
    private static final int NO_ANSWER = -1;
    private static final ClaimKey KEY = new ClaimKey("lemeki", "f".repeat(64), "checkout", "pay");
    private static final Claim CLAIM = new Claim(
            new AttemptId(new Incarnation(5, 6), 7),
            "ledger-1",
            new Incarnation(8, 9),
            "e".repeat(64),
            1_000,
            Payload.ofUtf8("{}"));

    private StubObjectServer server;
    private HttpObjectStore store;

    @BeforeEach
    void start() throws Exception {
        server = new StubObjectServer();
        store = store(server.address(), StoreLimits.DEFAULT);
    }

    @AfterEach
    void stop() {
        store.stop();
        server.close();
    }

    /** Guards against mapping a response with unknown outcome to a definite reply, and the reverse. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
            200 | {"version":12}                                                          | Written
            409 | {"kind":"zone","name":"a","version":9,"changeId":"x","spec":{}}         | Conflict
            409 | {"kind":"zone","name":"a","version":9,"changeId":"x","deleted":true}    | Conflict
            400 | malformed                                                               | Refused
            429 | slow down                                                               | Unavailable
            503 | down                                                                    | Unavailable
            500 | broken                                                                  | Lost
            200 | {"vers                                                                  | Lost
            0   | cut                                                                     | Lost
            -1  | no answer                                                               | Lost
            """)
    void classifiesAnswersToWrites(int status, String body, String expected) throws Exception {
        server.answerAll(status, body);

        // Only a call without an answer has to wait for its timeout; a short one would end the others on a slow
        // machine.
        Duration timeout = status == NO_ANSWER ? SHORT : TIMEOUT;

        StoreReply reply = await(done -> store.put("zone", "a", 8, "change-1", "{\"region\":\"r\"}", timeout, done));

        assertThat(reply.getClass().getSimpleName()).as(reply.toString()).isEqualTo(expected);
        assertThat(server.lastCall())
                .isEqualTo("PUT /v1/objects/zone/a If-Match=8 "
                        + "{\"changeId\":\"change-1\",\"spec\":{\"region\":\"r\"}}");
    }

    /** Guards against a refused connection being reported as a write that may have taken effect. */
    @Test
    void reportsARefusedConnectionAsWithoutEffect() throws Exception {
        InetSocketAddress address = server.address();
        server.close();
        store.stop();
        store = store(address, StoreLimits.DEFAULT);

        assertThat(this.<StoreReply>await(done -> store.put("zone", "a", 0, "c", "{}", TIMEOUT, done)))
                .isInstanceOf(StoreReply.Unavailable.class);
    }

    /** Guards against calls that wait for their timeout while the store is known to be down. */
    @Test
    void opensTheBreakerAndClosesItOnceAProbeIsAnswered() throws Exception {
        server.answerAll(503, "down");
        for (int i = 0; i < CircuitBreaker.FAILURE_THRESHOLD; i++) {
            this.<StoreReply>await(done -> store.get("zone", "a", TIMEOUT, done));
        }
        assertThat(store.available()).isFalse();
        CompletableFuture<StoreReply> atOnce = new CompletableFuture<>();
        store.put("zone", "a", 0, "c", "{}", TIMEOUT, atOnce::complete);
        assertThat(atOnce).as("completed synchronously").isCompleted();

        server.answerAll(404, "");

        Await.until(store::available);
        assertThat(this.<StoreReply>await(done -> store.get("zone", "a", TIMEOUT, done)))
                .isInstanceOf(StoreReply.Absent.class);
    }

    /** Guards against one process using the whole capacity of the store. */
    @Test
    void refusesCallsBeyondTheBudget() throws Exception {
        store.stop();
        store = store(server.address(), new StoreLimits(0.001, 2));

        this.<StoreReply>await(done -> store.get("zone", "a", TIMEOUT, done));
        this.<StoreReply>await(done -> store.get("zone", "a", TIMEOUT, done));

        assertThat(this.<StoreReply>await(done -> store.get("zone", "a", TIMEOUT, done)))
                .isInstanceOf(StoreReply.Unavailable.class);
        assertThat(server.calls()).isEqualTo(2);
    }

    /** Guards against opening a connection for each claim, which would add a round trip. */
    @Test
    void reusesTheConnection() throws Exception {
        for (int i = 0; i < 5; i++) {
            this.<StoreReply>await(done -> store.get("zone", "a", TIMEOUT, done));
        }

        assertThat(server.calls()).isEqualTo(5);
        assertThat(server.connections()).isEqualTo(1);
    }

    @ParameterizedTest
    @CsvSource({"200,Page", "410,Compacted", "503,Unavailable", "0,Unavailable"})
    void classifiesPages(int status, String expected) throws Exception {
        String body =
                "{\"revision\":9,\"objects\":[{\"kind\":\"zone\",\"name\":\"a\",\"version\":9,\"deleted\":true}]}";
        server.answer("GET /v1/watch?since=4&timeoutMillis=50&kind=zone&kind=model", status, body);

        PageReply reply = await(done -> store.watch(List.of("zone", "model"), 4, Duration.ofMillis(50), done));

        assertThat(reply.getClass().getSimpleName()).isEqualTo(expected);
    }

    /** Guards against a claim that loses a field on its way through the store. */
    @Test
    void writesAndReadsClaims() throws Exception {
        ObjectClaimStore claims = new ObjectClaimStore(store);
        String path = "/v1/objects/claim/" + KEY.objectName();
        server.answer("PUT " + path, 200, "{\"version\":3}");

        ClaimReply written = await(done -> claims.write(KEY, 0, CLAIM, TIMEOUT, done));
        String spec = server.lastCall().substring(server.lastCall().indexOf("\"spec\":"));
        String envelope = "{\"kind\":\"claim\",\"name\":\"" + KEY.objectName() + "\",\"version\":3," + spec;
        server.answer("GET " + path, 200, envelope);
        ClaimReply read = await(done -> claims.read(KEY, TIMEOUT, done));

        assertThat(written).isEqualTo(new ClaimReply.Stored(new VersionedClaim(CLAIM, 3)));
        assertThat(read).isEqualTo(written);
    }

    /** Guards against treating a malformed claim as absent, after which the stage would run twice. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
            409 | {"kind":"claim","name":"n","version":9,"changeId":"x","spec":{"attempt":"?"}} | Unavailable
            409 | {"kind":"claim","name":"n","version":9,"deleted":true}                        | Conflict
            429 | slow down                                                                     | Unavailable
            500 | broken                                                                        | Lost
            """)
    void mapsAnswersToClaimWrites(int status, String body, String expected) throws Exception {
        server.answerAll(status, body);

        ClaimReply reply = await(done -> new ObjectClaimStore(store).write(KEY, 0, CLAIM, TIMEOUT, done));

        assertThat(reply.getClass().getSimpleName()).isEqualTo(expected);
    }

    private static HttpObjectStore store(InetSocketAddress address, StoreLimits limits) {
        InetSocketAddress numeric = new InetSocketAddress(InetAddress.getLoopbackAddress(), address.getPort());
        HttpObjectStore store = new HttpObjectStore(numeric, limits, Telemetry.NONE, new Random(1));
        store.start();
        return store;
    }

    private <T> T await(Consumer<Consumer<T>> call) throws Exception {
        CompletableFuture<T> future = new CompletableFuture<>();
        call.accept(future::complete);
        return future.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    }
}
