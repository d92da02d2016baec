package org.guavagw.internal.session;

import java.util.Optional;

/**
 * Result of looking up a session's pin. Immutable.
 *
 * @param version the version that the session is pinned to, if known
 * @param certain whether an absent version means that the session has no pin; if not, it may have a
 *     pin at an entry that cannot be reached
 */
public record PinLookupResult(Optional<String> version, boolean certain) {
  /** The session certainly has no pin. */
  public static final PinLookupResult NONE = new PinLookupResult(Optional.empty(), true);

  /** No pin was found, but some sources could not be queried. */
  public static final PinLookupResult UNKNOWN = new PinLookupResult(Optional.empty(), false);

  /** Returns a result for a session that is pinned to a version. */
  public static PinLookupResult of(String version) {
    return new PinLookupResult(Optional.of(version), true);
  }
}
