package org.guavagw.internal.load;

import java.time.Duration;
import java.util.List;
import org.guavagw.config.VersionRef;

/**
 * The newest load that a backend server reported. Immutable.
 *
 * @param cold whether the backend server reported that it is in cold start
 * @param age time since the backend server was polled
 */
public record LoadReport(
    String bootId,
    boolean cold,
    int running,
    int waiting,
    int slots,
    List<VersionRef> versions,
    Duration age) {
  public LoadReport {
    versions = List.copyOf(versions);
  }
}
