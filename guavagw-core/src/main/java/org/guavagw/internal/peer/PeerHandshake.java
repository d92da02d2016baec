package org.guavagw.internal.peer;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.SecureRandom;

/** Challenge-response handshake that proves that both ends know the shared secret. Thread-safe. */
final class PeerHandshake {
  private static final int NONCE_BYTES = 16;

  private final PeerIdentity self;
  private final HashFunction mac;
  private final SecureRandom random = new SecureRandom();

  PeerHandshake(PeerIdentity self, String secret) {
    this.self = self;
    this.mac = Hashing.hmacSha256(secret.getBytes(StandardCharsets.UTF_8));
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
    return mac.newHasher()
        .putBytes(nonce)
        .putString(kind.name(), StandardCharsets.UTF_8)
        .putLong(incarnation)
        .putString(memberId, StandardCharsets.UTF_8)
        .hash()
        .asBytes();
  }
}
