package io.masticfold.gateway.stage;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.gateway.peer.proto.PeerStatus;
import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against holding requests back because the work of other gateways is overestimated. */
final class StageCommitmentsTests {

    private static final Duration MAX_AGE = Duration.ofSeconds(1);

    private final ManualTimeSource time = new ManualTimeSource();
    private final StageCommitments commitments = new StageCommitments(time, MAX_AGE);

    /** Rolling restart: one gateway holds all requests while the others stop, so its count must not be multiplied. */
    @Test
    void gatewayWithAllRequestsCountsThemOnce() {
        commitments.add("scan", 24);
        commitments.update("g1", PeerStatus.newBuilder().setDraining(true).build());
        commitments.update("g2", PeerStatus.newBuilder().setDraining(true).build());

        assertThat(commitments.pendingPieces("scan")).isEqualTo(24);
    }

    @Test
    void piecesReportedByPeersAreCounted() {
        commitments.add("scan", 4);
        commitments.update("g1", statusOf(10));
        commitments.update("g2", statusOf(6));
        commitments.update("g1", statusOf(8));

        assertThat(commitments.pendingPieces("scan")).isEqualTo(4 + 8 + 6);
        assertThat(commitments.pendingPieces("other")).isZero();
    }

    @Test
    void outdatedAndRemovedPeerCountsAreIgnored() {
        commitments.update("g1", statusOf(10));
        commitments.update("g2", statusOf(6));

        commitments.remove("g1");
        assertThat(commitments.pendingPieces("scan")).isEqualTo(6);
        time.advance(MAX_AGE.plusMillis(1));
        assertThat(commitments.pendingPieces("scan")).isZero();
    }

    @Test
    void removedPiecesAreNotReported() {
        commitments.add("scan", 4);
        commitments.add("scan", -4);

        PeerStatus.Builder status = PeerStatus.newBuilder();
        commitments.addTo(status);
        assertThat(status.getCommitmentsList()).isEmpty();
    }

    private static PeerStatus statusOf(int pieces) {
        StageCommitments peer = new StageCommitments(new ManualTimeSource(), MAX_AGE);
        peer.add("scan", pieces);
        PeerStatus.Builder status = PeerStatus.newBuilder();
        peer.addTo(status);
        return status.build();
    }
}
