package io.masticfold.wire;

import io.masticfold.wire.proto.Hello;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import javax.crypto.Mac;

/**
 * Computes and verifies the HMAC proofs of a handshake. A proof covers the role of the prover, so that it cannot be
 * reflected to its sender, and the nonces of both sides, so that it cannot be replayed in another handshake.
 */
final class HandshakeProof {

    private static final String CONTEXT = "masticfold handshake";

    private HandshakeProof() {}

    static byte[] compute(SharedSecret secret, PeerRole prover, Hello entry, Hello agent) {
        Mac mac = secret.hmac();
        text(mac, CONTEXT);
        text(mac, prover.code());
        hello(mac, entry);
        hello(mac, agent);
        return mac.doFinal();
    }

    static boolean valid(byte[] proof, SharedSecret secret, PeerRole prover, Hello entry, Hello agent) {
        return MessageDigest.isEqual(compute(secret, prover, entry, agent), proof);
    }

    private static void hello(Mac mac, Hello hello) {
        number(mac, hello.getProtocol());
        text(mac, hello.getProcess());
        text(mac, hello.getRole());
        text(mac, hello.getZone());
        number(mac, hello.getIncarnation().getStartMillis());
        number(mac, hello.getIncarnation().getRandom());
        bytes(mac, hello.getNonce().toByteArray());
    }

    private static void text(Mac mac, String text) {
        bytes(mac, text.getBytes(StandardCharsets.UTF_8));
    }

    /** Prefixes the bytes with their length, so that different field lists never produce the same HMAC input. */
    private static void bytes(Mac mac, byte[] bytes) {
        number(mac, bytes.length);
        mac.update(bytes);
    }

    private static void number(Mac mac, long number) {
        mac.update(ByteBuffer.allocate(Long.BYTES).putLong(number).flip());
    }
}
