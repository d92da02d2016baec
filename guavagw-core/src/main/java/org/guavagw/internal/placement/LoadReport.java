package org.guavagw.internal.placement;

import java.util.List;
import org.guavagw.config.VersionRef;

/**
 * State that a backend server reported about itself. Immutable.
 *
 * @param bootId changes with each start of its engine
 * @param cold whether it reports to be in cold start
 * @param versions loaded versions; empty if not reported
 * @param receivedNanos monotonic time of receipt
 */
public record LoadReport(
    String bootId,
    boolean cold,
    int running,
    int waiting,
    int slots,
    List<VersionRef> versions,
    long receivedNanos) {
  public LoadReport {
    versions = List.copyOf(versions);
  }
}
