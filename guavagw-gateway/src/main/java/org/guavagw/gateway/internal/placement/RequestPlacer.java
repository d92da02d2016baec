package org.guavagw.gateway.internal.placement;

import java.util.function.DoubleSupplier;

/** Places requests with a prompt and plain ones by their own rules. Traffic thread only. */
public final class RequestPlacer implements Placer {
  private final Placer prompts;
  private final Placer plain;

  /** Creates a placer that uses the given load data and random numbers from 0 to 1. */
  public RequestPlacer(LoadTracker loads, DoubleSupplier random) {
    this.prompts = new AffinityPlacer(loads);
    this.plain = new PlainPlacer(loads, random);
  }

  @Override
  public Placement place(PlacementQuery query) {
    return (query.promptTokens() > 0 ? prompts : plain).place(query);
  }
}
