package org.guavagw.gateway.internal.placement;

/** A fast hash that is the same in all entries. Stateless. */
final class Hash64 {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private Hash64() {}

  /** Returns the hash of a text. */
  static long of(String text) {
    long hash = FNV_OFFSET;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * FNV_PRIME;
    }
    return mix(hash);
  }

  /** Returns a number in (0, 1) that depends on both hashes. */
  static double unit(long one, long other) {
    long hash = mix(one ^ (other * 0x9e3779b97f4a7c15L));
    return ((hash >>> 11) + 0.5) / (1L << 53);
  }

  private static long mix(long value) {
    long hash = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
    hash = (hash ^ (hash >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return hash ^ (hash >>> 33);
  }
}
