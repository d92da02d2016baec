package org.guavagw.internal.pipeline;

import java.util.ArrayList;
import java.util.List;

/** Adds up what the attempts of one request cost. Confined to the request's thread. */
public final class SpendMeter {
  private final List<Spend> spends = new ArrayList<>();

  /** Notes the cost of one attempt that produced tokens. */
  public void add(Spend spend) {
    spends.add(spend);
  }

  /** Cost of all attempts in micro-units of currency. */
  public long totalMicros() {
    return spends.stream().mapToLong(Spend::costMicros).sum();
  }

  /** Each attempt's cost, in order. */
  public List<Spend> spends() {
    return List.copyOf(spends);
  }
}
