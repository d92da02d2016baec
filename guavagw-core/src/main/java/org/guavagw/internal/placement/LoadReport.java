package org.guavagw.internal.placement;

import java.util.List;
import org.guavagw.config.VersionRef;

/**
 * What a backend server said about itself. Immutable.
 *
 * @param bootId changes with each start of its engine
 * @param cold whether it says that it is in cold start
 * @param versions versions that are loaded; empty where it does not say
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
