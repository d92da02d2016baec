package org.guavagw.internal.explain;

import java.time.Instant;

/** What is known about a request id. Immutable. */
public sealed interface Lookup {
  /** The record. */
  record Found(DecisionRecord record) implements Lookup {}

  /** The entry that handled the request may still hold the record; ask it, or ask again later. */
  record NotYetWritten(String entry, Instant writtenBy) implements Lookup {}

  /** The request may have been handled, but its record is gone. */
  record Lost(String entry, String reason) implements Lookup {}

  /** No entry made such an id. */
  record NeverSeen() implements Lookup {}

  /** The object store could not be asked. */
  record StoreUnavailable(String reason) implements Lookup {}
}
