package org.guavagw.gateway.internal.control;

import java.util.HashMap;
import java.util.Map;
import org.guavagw.gateway.model.RolloutStatus;

/**
 * The reported states of rollouts by service.
 *
 * <p>A status that a restored store lacks stays, as one that is not stored, until it is written
 * again. Not thread-safe.
 */
final class ReportedStatuses {
  private final Map<String, RolloutStatus> byService = new HashMap<>();

  /** Returns the statuses by service. */
  Map<String, RolloutStatus> byService() {
    return byService;
  }

  /** Records a status that was read from the store. */
  void put(RolloutStatus next) {
    byService.merge(next.service(), next, ReportedStatuses::newest);
  }

  private static RolloutStatus newest(RolloutStatus known, RolloutStatus next) {
    return !known.stored() && known.isAheadOf(next) ? known.lost(next.revision()) : next;
  }

  /** Replaces all statuses by those that an action records. */
  void replace(Runnable recordAll) {
    byService.clear();
    recordAll.run();
  }

  /**
   * Replaces all statuses by those of a copy, which an action records, but keeps what the copy
   * lacks; returns the number of statuses that are to be written again.
   */
  int restore(Runnable recordAll) {
    Map<String, RolloutStatus> earlier = new HashMap<>(byService);
    replace(recordAll);
    earlier.forEach(
        (service, status) ->
            byService.merge(service, status.lost(0), (copy, known) -> newest(known, copy)));
    return (int) byService.values().stream().filter(s -> !s.stored()).count();
  }
}
