package org.guavagw.internal.billing;

import java.util.List;

/** Segments that an entry could not write itself, in order. Immutable. */
public record UnbilledSnapshot(List<PreparedSegment> segments) {
  public UnbilledSnapshot {
    segments = List.copyOf(segments);
  }

  /** Returns whether there is no segment to write. */
  public boolean isEmpty() {
    return segments.isEmpty();
  }
}
