package org.guavagw.internal.load;

import java.time.Duration;
import java.util.List;
import org.guavagw.config.VersionRef;

/**
 * What a backend server last said about itself. Immutable.
 *
 * @param cold whether it said that it is in cold start
 * @param age time since the entry that polled it got the report
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
