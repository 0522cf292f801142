package io.masticfold.gateway.stage;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.gateway.peer.proto.PeerStatus;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against holding requests back because the work of other gateways is overestimated. */
final class StageCommitmentsTests {

    private static final Duration MAX_AGE = Duration.ofSeconds(1);

    private final TestTime time = new TestTime();
    private final StageCommitments commitments = new StageCommitments(time, MAX_AGE);

    /** Rolling restart: one gateway holds all requests while the others stop, so its count must not be multiplied. */
    @Test
    void aGatewayThatHasAllRequestsCountsThemOnce() {
        commitments.add("scan", 24);
        commitments.told("g1", PeerStatus.newBuilder().setDraining(true).build());
        commitments.told("g2", PeerStatus.newBuilder().setDraining(true).build());

        assertThat(commitments.pieces("scan")).isEqualTo(24);
    }

    @Test
    void whatPeersHaveBegunCounts() {
        commitments.add("scan", 4);
        commitments.told("g1", statusOf(10));
        commitments.told("g2", statusOf(6));
        commitments.told("g1", statusOf(8));

        assertThat(commitments.pieces("scan")).isEqualTo(4 + 8 + 6);
        assertThat(commitments.pieces("other")).isZero();
    }

    @Test
    void whatPeersSaidLongAgoDoesNotCount() {
        commitments.told("g1", statusOf(10));
        commitments.told("g2", statusOf(6));

        commitments.lost("g1");
        assertThat(commitments.pieces("scan")).isEqualTo(6);
        time.advance(MAX_AGE.plusMillis(1));
        assertThat(commitments.pieces("scan")).isZero();
    }

    @Test
    void takenBackPiecesAreNotTold() {
        commitments.add("scan", 4);
        commitments.add("scan", -4);

        PeerStatus.Builder status = PeerStatus.newBuilder();
        commitments.tell(status);
        assertThat(status.getCommitmentsList()).isEmpty();
    }

    private static PeerStatus statusOf(int pieces) {
        StageCommitments peer = new StageCommitments(new TestTime(), MAX_AGE);
        peer.add("scan", pieces);
        PeerStatus.Builder status = PeerStatus.newBuilder();
        peer.tell(status);
        return status.build();
    }
}
