package org.guavagw.internal.peer;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class PeerHandshakeTest {
  private static final String SECRET = "10.200.1.7:8223";

  private final PeerHandshake handshake =
      new PeerHandshake(new PeerIdentity("entry-1", 1_700_000_000_123L), SECRET);

  /** Builds that are deployed sign with Guava's hasher, which writes numbers little-endian. */
  @Test
  void shouldProveTheSecretInTheFormOfDeployedBuilds() {
    byte[] nonce = handshake.newChallenge().body();
    byte[] expected =
        Hashing.hmacSha256(SECRET.getBytes(StandardCharsets.UTF_8))
            .newHasher()
            .putBytes(nonce)
            .putString("HELLO", StandardCharsets.UTF_8)
            .putLong(1_700_000_000_123L)
            .putString("entry-1", StandardCharsets.UTF_8)
            .hash()
            .asBytes();
    assertThat(handshake.proof(PeerFrame.Kind.HELLO, nonce).body()).isEqualTo(expected);
  }

  @Test
  void shouldAcceptOnlyTheProofOfTheSecretForTheNonceAndKind() {
    byte[] nonce = handshake.newChallenge().body();
    byte[] otherNonce = handshake.newChallenge().body();
    PeerFrame proof = handshake.proof(PeerFrame.Kind.HELLO, nonce);
    PeerFrame foreign =
        new PeerHandshake(new PeerIdentity("entry-1", 1_700_000_000_123L), "other secret")
            .proof(PeerFrame.Kind.HELLO, nonce);
    assertThat(handshake.isValidProof(proof, PeerFrame.Kind.HELLO, nonce)).isTrue();
    assertThat(handshake.isValidProof(proof, PeerFrame.Kind.WELCOME, nonce)).isFalse();
    assertThat(handshake.isValidProof(proof, PeerFrame.Kind.HELLO, otherNonce)).isFalse();
    assertThat(handshake.isValidProof(foreign, PeerFrame.Kind.HELLO, nonce)).isFalse();
  }
}
