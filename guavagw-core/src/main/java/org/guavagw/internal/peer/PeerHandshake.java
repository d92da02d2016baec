package org.guavagw.internal.peer;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.SecureRandom;

/** Challenge-response handshake that proves that both ends know the shared secret. Thread-safe. */
final class PeerHandshake {
  private static final int NONCE_BYTES = 16;

  private final PeerIdentity self;
  private final HmacSha256 mac;
  private final SecureRandom random = new SecureRandom();

  PeerHandshake(PeerIdentity self, String secret) {
    this.self = self;
    this.mac = new HmacSha256(secret.getBytes(StandardCharsets.UTF_8));
  }

  PeerFrame newChallenge() {
    byte[] nonce = new byte[NONCE_BYTES];
    random.nextBytes(nonce);
    return new PeerFrame(PeerFrame.Kind.CHALLENGE, 0, "", nonce);
  }

  /**
   * Returns a frame that proves that this entry knows the secret.
   *
   * @param kind {@code HELLO} at the opening end, {@code WELCOME} at the accepting end
   */
  PeerFrame proof(PeerFrame.Kind kind, byte[] nonce) {
    byte[] body = sign(kind, nonce, self.memberId(), self.incarnation());
    return new PeerFrame(kind, self.incarnation(), self.memberId(), body);
  }

  /** Returns whether a frame proves that the other end knows the secret. */
  boolean isValidProof(PeerFrame frame, PeerFrame.Kind kind, byte[] nonce) {
    byte[] expected = sign(kind, nonce, frame.name(), frame.id());
    return frame.kind() == kind && MessageDigest.isEqual(expected, frame.body());
  }

  private byte[] sign(PeerFrame.Kind kind, byte[] nonce, String memberId, long incarnation) {
    byte[] kindBytes = kind.name().getBytes(StandardCharsets.UTF_8);
    byte[] memberBytes = memberId.getBytes(StandardCharsets.UTF_8);
    ByteBuffer message =
        ByteBuffer.allocate(nonce.length + kindBytes.length + Long.BYTES + memberBytes.length)
            // Builds that are deployed sign this order.
            .order(ByteOrder.LITTLE_ENDIAN)
            .put(nonce)
            .put(kindBytes)
            .putLong(incarnation)
            .put(memberBytes);
    return mac.sign(message.array());
  }
}
