package org.guavagw.gateway.internal.peers;

import java.util.Collection;

/** Estimates how many bytes parts of a message take. */
final class MessageSizes {
  /** What a name takes beside its characters. */
  private static final int NAME_HEADER_BYTES = 2;

  /** What a number takes at most. */
  private static final int NUMBER_BYTES = 9;

  private MessageSizes() {}

  static long ofNames(Collection<String> names) {
    return names.stream().mapToLong(name -> name.length() + NAME_HEADER_BYTES).sum();
  }

  /** Returns the size of names with a number each. */
  static long ofNumbers(Collection<String> names) {
    return ofNames(names) + (long) names.size() * NUMBER_BYTES;
  }
}
