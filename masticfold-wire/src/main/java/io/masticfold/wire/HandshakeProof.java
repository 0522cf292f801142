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
        updateText(mac, CONTEXT);
        updateText(mac, prover.code());
        updateHello(mac, entry);
        updateHello(mac, agent);
        return mac.doFinal();
    }

    static boolean verify(byte[] proof, SharedSecret secret, PeerRole prover, Hello entry, Hello agent) {
        return MessageDigest.isEqual(compute(secret, prover, entry, agent), proof);
    }

    private static void updateHello(Mac mac, Hello hello) {
        updateNumber(mac, hello.getProtocol());
        updateText(mac, hello.getProcess());
        updateText(mac, hello.getRole());
        updateText(mac, hello.getZone());
        updateNumber(mac, hello.getIncarnation().getStartMillis());
        updateNumber(mac, hello.getIncarnation().getRandom());
        updateBytes(mac, hello.getNonce().toByteArray());
    }

    private static void updateText(Mac mac, String text) {
        updateBytes(mac, text.getBytes(StandardCharsets.UTF_8));
    }

    /** Prefixes the bytes with their length, so that different field lists never produce the same HMAC input. */
    private static void updateBytes(Mac mac, byte[] bytes) {
        updateNumber(mac, bytes.length);
        mac.update(bytes);
    }

    private static void updateNumber(Mac mac, long number) {
        mac.update(ByteBuffer.allocate(Long.BYTES).putLong(number).flip());
    }
}
