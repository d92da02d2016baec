package org.guavagw.cli.bench.load;

import java.time.Duration;
import org.guavagw.internal.config.RevisionedConfig;
import org.guavagw.internal.placement.CacheEvents;
import org.guavagw.internal.placement.LoadReport;

/** One entry VM as a simulation drives it. Not thread-safe. */
interface Entry {
  /** Takes a request; tells the handler once how it ended. */
  void submit(SimRequest request, Answer answer);

  /** Adopts a configuration. */
  void adopt(RevisionedConfig config);

  /** Takes a load report. */
  void onLoadReport(String backendId, LoadReport report);

  /** Takes prefix cache events. */
  void onCacheEvents(String backendId, CacheEvents events);

  /** Hears how a request ended. */
  interface Answer {
    /** The whole answer came. */
    void answered();

    /** Refused or failed; a new attempt may follow after the pause. */
    void refused(Duration retryAfter);
  }
}
