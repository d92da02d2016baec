package org.guavagw.gateway.internal.placement;

import java.util.function.DoubleSupplier;

/** Places requests with a prompt and plain ones by their own rules. Traffic thread only. */
public final class RequestPlacer implements Placer {
  private final Placer prompts;
  private final Placer plain;
  private final boolean mayWait;

  /**
   * Creates a placer that uses the given load data and random numbers from 0 to 1.
   *
   * @param mayWait whether requests may wait at this entry until a server has room; if not, they
   *     are sent to a full server, which queues some
   */
  public RequestPlacer(LoadTracker loads, DoubleSupplier random, boolean mayWait) {
    this.prompts = new AffinityPlacer(loads);
    this.plain = new PlainPlacer(loads, random);
    this.mayWait = mayWait;
  }

  @Override
  public Placement place(PlacementQuery query) {
    Placement placement = (query.promptTokens() > 0 ? prompts : plain).place(query);
    if (!mayWait && placement instanceof Placement.Placed placed && !placed.hasRoom()) {
      return new Placement.Placed(
          placed.server(), placed.waitMillis(), placed.firstEventMillis(), true);
    }
    return placement;
  }
}
