package org.guavagw.internal.peer;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;

/**
 * HMAC with SHA-256 of RFC 2104.
 *
 * <p>Computed from the digest, because {@code javax.crypto.Mac} loads every security provider of
 * the JDK, which takes a noticeable part of the start. Immutable, thread-safe.
 */
final class HmacSha256 {
  private static final String DIGEST = "SHA-256";
  private static final int BLOCK_BYTES = 64;
  private static final byte INNER_PAD = 0x36;
  private static final byte OUTER_PAD = 0x5c;

  private final byte[] innerKey;
  private final byte[] outerKey;

  HmacSha256(byte[] key) {
    byte[] block =
        Arrays.copyOf(key.length > BLOCK_BYTES ? newDigest().digest(key) : key, BLOCK_BYTES);
    this.innerKey = xor(block, INNER_PAD);
    this.outerKey = xor(block, OUTER_PAD);
  }

  /** Returns the code of a message. */
  byte[] sign(byte[] message) {
    MessageDigest inner = newDigest();
    inner.update(innerKey);
    MessageDigest outer = newDigest();
    outer.update(outerKey);
    return outer.digest(inner.digest(message));
  }

  private static byte[] xor(byte[] block, byte pad) {
    byte[] padded = new byte[block.length];
    for (int i = 0; i < block.length; i++) {
      padded[i] = (byte) (block[i] ^ pad);
    }
    return padded;
  }

  private static MessageDigest newDigest() {
    try {
      return MessageDigest.getInstance(DIGEST);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every JDK has " + DIGEST, e);
    }
  }
}
