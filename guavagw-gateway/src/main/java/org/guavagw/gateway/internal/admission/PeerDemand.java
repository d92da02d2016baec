package org.guavagw.gateway.internal.admission;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.BinaryOperator;
import java.util.function.Predicate;
import org.guavagw.gateway.internal.peers.DemandReport;
import org.guavagw.gateway.internal.peers.DemandSummary;
import org.guavagw.gateway.internal.peers.ServiceDemand;

/**
 * The latest demand at other entries, kept by its origin: an entry or a data centre.
 *
 * <p>Invariants: no sum contains an origin twice; a report counts less as it gets older, and not at
 * all from {@link #MAX_AGE} on. Traffic thread only.
 */
final class PeerDemand {
  /** Age up to which a report counts in full; it may have passed two hubs. */
  private static final Duration FULL_AGE = Duration.ofMillis(700);

  private static final Duration MAX_AGE = Duration.ofSeconds(2);

  private final Map<String, Received> byEntry = new HashMap<>();
  private final Map<String, Received> byDataCentre = new HashMap<>();
  private Received summary = new Received(Map.of(), 0);

  void onReport(String sender, DemandReport report, long nowNanos) {
    Received received = new Received(report.byService(), nowNanos);
    if (report.dataCentre().isEmpty()) {
      byEntry.put(sender, received);
    } else {
      byDataCentre.put(report.dataCentre(), received);
    }
  }

  void onSummary(DemandSummary received, long nowNanos) {
    summary = new Received(received.byService(), nowNanos);
  }

  void expire(long nowNanos) {
    Predicate<Received> expired = r -> nowNanos - r.nanos() >= MAX_AGE.toNanos();
    byEntry.values().removeIf(expired);
    byDataCentre.values().removeIf(expired);
  }

  Map<String, ServiceDemand> ofEntry(String entry, long nowNanos) {
    Received received = byEntry.get(entry);
    return received == null ? Map.of() : received.at(nowNanos);
  }

  /** Returns the demand that some entries have reported. */
  Map<String, ServiceDemand> ofEntries(Collection<String> entries, long nowNanos) {
    Map<String, ServiceDemand> sum = Map.of();
    for (String entry : entries) {
      sum = plus(sum, ofEntry(entry, nowNanos));
    }
    return sum;
  }

  /** Returns the demand that has been reported for some data centres. */
  Map<String, ServiceDemand> ofDataCentres(Set<String> dataCentres, long nowNanos) {
    Map<String, ServiceDemand> sum = Map.of();
    for (String dataCentre : dataCentres) {
      Received received = byDataCentre.get(dataCentre);
      sum = received == null ? sum : plus(sum, received.at(nowNanos));
    }
    return sum;
  }

  /** Returns the demand at all other entries as summarized by the hub. */
  Map<String, ServiceDemand> ofSummary(long nowNanos) {
    return summary.at(nowNanos);
  }

  static Map<String, ServiceDemand> plus(
      Map<String, ServiceDemand> one, Map<String, ServiceDemand> other) {
    return combine(one, other, ServiceDemand::plus);
  }

  static Map<String, ServiceDemand> minus(
      Map<String, ServiceDemand> all, Map<String, ServiceDemand> part) {
    Map<String, ServiceDemand> present = new HashMap<>(part);
    present.keySet().retainAll(all.keySet());
    return combine(all, present, ServiceDemand::minus);
  }

  private static Map<String, ServiceDemand> combine(
      Map<String, ServiceDemand> one,
      Map<String, ServiceDemand> other,
      BinaryOperator<ServiceDemand> operator) {
    Map<String, ServiceDemand> combined = new HashMap<>(one);
    other.forEach((service, demand) -> combined.merge(service, demand, operator));
    return combined;
  }

  /** Demand and the monotonic time of its arrival. Immutable. */
  private record Received(Map<String, ServiceDemand> byService, long nanos) {
    Map<String, ServiceDemand> at(long nowNanos) {
      long age = nowNanos - nanos;
      if (age <= FULL_AGE.toNanos()) {
        return byService;
      }
      if (age >= MAX_AGE.toNanos()) {
        return Map.of();
      }
      double factor = (double) (MAX_AGE.toNanos() - age) / (MAX_AGE.toNanos() - FULL_AGE.toNanos());
      Map<String, ServiceDemand> aged = new HashMap<>();
      byService.forEach((service, demand) -> aged.put(service, demand.times(factor)));
      return aged;
    }
  }
}
