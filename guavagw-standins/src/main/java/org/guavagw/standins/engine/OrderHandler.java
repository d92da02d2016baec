package org.guavagw.standins.engine;

import java.util.ArrayList;
import java.util.List;
import org.guavagw.config.VersionRef;

/**
 * Orders that an engine executed. An engine that checks fencing numbers obeys no order whose number
 * is below the highest that it has seen. Thread-safe.
 */
public final class OrderHandler {
  private final ContinuousBatch batch;
  private final boolean checksFencing;
  private final List<Order> executed = new ArrayList<>();
  private long highestFencing = Long.MIN_VALUE;
  private long staleExecuted;

  OrderHandler(ContinuousBatch batch, boolean checksFencing) {
    this.batch = batch;
    this.checksFencing = checksFencing;
  }

  /** Orders that were executed, in order of arrival. */
  public synchronized List<Order> executed() {
    return List.copyOf(executed);
  }

  /** Orders that were executed despite an old fencing number. */
  public synchronized long staleExecuted() {
    return staleExecuted;
  }

  synchronized boolean tryExecute(Order order) {
    boolean stale = order.fencing() < highestFencing;
    if (stale && checksFencing) {
      return false;
    }
    highestFencing = Math.max(highestFencing, order.fencing());
    staleExecuted += stale ? 1 : 0;
    executed.add(order);
    execute(order);
    return true;
  }

  private void execute(Order order) {
    switch (order.kind()) {
      case LOAD -> batch.load(VersionRef.parse(order.subject()));
      case UNLOAD -> batch.unload(VersionRef.parse(order.subject()));
      case ADAPTER -> batch.loadAdapter(order.subject());
      default -> batch.role(order.subject());
    }
  }
}
