package org.guavagw.standins.engine;

import java.util.ArrayList;
import java.util.List;
import org.guavagw.config.VersionRef;

/**
 * Executes and records orders to an engine. An engine that checks fencing numbers refuses orders
 * with a lower number than the highest seen. Thread-safe.
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

  /** Returns the executed orders in order of arrival. */
  public synchronized List<Order> executed() {
    return List.copyOf(executed);
  }

  /** Returns the number of orders that were executed despite an old fencing number. */
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
      default -> batch.setRole(order.subject());
    }
  }
}
