package org.guavagw.internal.session;

import java.util.Optional;

/**
 * What is known of a session's pin. Immutable.
 *
 * @param version the version that the session is pinned to, where it is known
 * @param certain whether an absent version means that the session has no pin; if not, it may have
 *     begun at an entry that cannot be asked
 */
public record PinLookup(Optional<String> version, boolean certain) {
  /** The session has no pin. */
  public static final PinLookup NONE = new PinLookup(Optional.empty(), true);

  /** Nobody who could be asked knows of a pin. */
  public static final PinLookup UNKNOWN = new PinLookup(Optional.empty(), false);

  /** The session is pinned to a version. */
  public static PinLookup of(String version) {
    return new PinLookup(Optional.of(version), true);
  }
}
