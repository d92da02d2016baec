package org.guavagw.gateway.internal.admission;

import com.codahale.metrics.ExponentiallyDecayingReservoir;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Counts what is decided about requests, by service, route and team.
 *
 * <p>The number of metrics is bounded, as names come with configurations: names beyond the bound
 * are counted together as {@value #OTHER}. Traffic thread only.
 */
public final class AdmissionMetrics implements AdmissionListener {
  private static final int MAX_NAMES = 1024;
  private static final String OTHER = "other";

  /** Samples of each wait histogram; few, as there are many histograms. */
  private static final int SAMPLES = 128;

  /** Weighs the last five minutes most. */
  private static final double DECAY = 0.015;

  private final MetricRegistry registry;
  private final Set<String> names = new HashSet<>();

  /** Creates a listener that records in a registry. */
  public AdmissionMetrics(MetricRegistry registry) {
    this.registry = registry;
  }

  @Override
  public void onOffered(RequestTraits traits) {
    count(traits, "offered");
  }

  @Override
  public void onQueued(WaitingRequest request, QueueState state) {
    count(request.traits(), "queued");
  }

  @Override
  public void onStarted(RequestTraits traits, Duration wait) {
    for (String name : names(traits)) {
      registry.counter(name + ".started").inc();
      registry.timer(name + ".wait", AdmissionMetrics::newTimer).update(wait);
    }
  }

  @Override
  public void onEnded(RequestTraits traits) {
    count(traits, "ended");
  }

  @Override
  public void onLeft(RequestTraits traits) {
    count(traits, "left");
  }

  @Override
  public void onRefused(
      WaitingRequest request, RefusalReason reason, QueueState state, Duration retryAfter) {
    count(request.traits(), "refused." + reason.label());
  }

  private static Timer newTimer() {
    return new Timer(new ExponentiallyDecayingReservoir(SAMPLES, DECAY));
  }

  private void count(RequestTraits traits, String event) {
    names(traits).forEach(n -> registry.counter(n + "." + event).inc());
  }

  private List<String> names(RequestTraits traits) {
    return List.of(
        bounded("admission.service.", traits.service()),
        bounded("admission.route.", traits.route()),
        bounded("admission.team.", traits.team().isEmpty() ? "none" : traits.team()));
  }

  private String bounded(String kind, String name) {
    String full = kind + name;
    if (names.contains(full) || names.size() < MAX_NAMES) {
      names.add(full);
      return full;
    }
    return kind + OTHER;
  }
}
