package org.guavagw.internal.membership;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** Rendezvous hashing: entries with the same candidates make the same choice. Stateless. */
public final class RendezvousHashing {
  private static final HashFunction HASH = Hashing.murmur3_128();

  private RendezvousHashing() {}

  /** Returns the first {@code count} candidates for a key, best first. */
  public static List<String> pick(String key, Collection<String> candidates, int count) {
    return candidates.stream()
        .sorted(Comparator.comparingLong((String c) -> weight(key, c)).thenComparing(c -> c))
        .limit(count)
        .toList();
  }

  private static long weight(String key, String candidate) {
    return HASH.newHasher()
        .putString(key, StandardCharsets.UTF_8)
        .putChar('/')
        .putString(candidate, StandardCharsets.UTF_8)
        .hash()
        .asLong();
  }
}
