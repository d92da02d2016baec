package org.guavagw.cli.bench.load;

import java.time.Duration;
import org.guavagw.internal.config.RevisionedConfig;
import org.guavagw.internal.placement.CacheEvents;
import org.guavagw.internal.placement.LoadReport;

/** An entry in a simulation. Not thread-safe. */
interface SimulatedEntry {
  /** Submits a request and notifies the handler once of the result. */
  void submit(SimulatedRequest request, ResultHandler handler);

  /** Puts a configuration in force. */
  void adopt(RevisionedConfig config);

  /** Handles a load report. */
  void onLoadReport(String backendId, LoadReport report);

  /** Handles prefix cache events. */
  void onCacheEvents(String backendId, CacheEvents events);

  /** Receives the result of a request. */
  interface ResultHandler {
    /** The complete answer was received. */
    void answered();

    /** The request was refused or failed; the caller may retry after the delay. */
    void refused(Duration retryAfter);
  }
}
