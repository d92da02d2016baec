package org.guavagw.internal.explain;

import java.time.Instant;

/** Result of looking up the decision record of a request id. Immutable. */
public sealed interface LookupResult {
  /** The record was found. */
  record Found(DecisionRecord record) implements LookupResult {}

  /** The record may not be written yet; look it up at the entry or again later. */
  record NotYetWritten(String entry, Instant writtenBy) implements LookupResult {}

  /** The request may have been handled, but its record is lost. */
  record Lost(String entry, String reason) implements LookupResult {}

  /** No entry created the id. */
  record NeverSeen() implements LookupResult {}

  /** The object store could not be read. */
  record StoreUnavailable(String reason) implements LookupResult {}
}
