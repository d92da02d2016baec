package org.guavagw.standins.engine;

import java.util.ArrayList;
import java.util.List;
import org.guavagw.config.VersionRef;

/**
 * Orders that an engine obeyed. An engine that checks fencing numbers obeys no order whose number
 * is below the highest that it has seen. Thread-safe.
 */
public final class OrderBook {
  private final ContinuousBatch batch;
  private final boolean checksFencing;
  private final List<Order> obeyed = new ArrayList<>();
  private long highestFencing = Long.MIN_VALUE;
  private long staleObeyed;

  OrderBook(ContinuousBatch batch, boolean checksFencing) {
    this.batch = batch;
    this.checksFencing = checksFencing;
  }

  /** Orders that were obeyed, in order of arrival. */
  public synchronized List<Order> obeyed() {
    return List.copyOf(obeyed);
  }

  /** Orders that were obeyed despite an old fencing number. */
  public synchronized long staleObeyed() {
    return staleObeyed;
  }

  synchronized boolean take(Order order) {
    boolean stale = order.fencing() < highestFencing;
    if (stale && checksFencing) {
      return false;
    }
    highestFencing = Math.max(highestFencing, order.fencing());
    staleObeyed += stale ? 1 : 0;
    obeyed.add(order);
    obey(order);
    return true;
  }

  private void obey(Order order) {
    switch (order.kind()) {
      case LOAD -> batch.load(VersionRef.parse(order.subject()));
      case UNLOAD -> batch.unload(VersionRef.parse(order.subject()));
      case ADAPTER -> batch.loadAdapter(order.subject());
      default -> batch.role(order.subject());
    }
  }
}
