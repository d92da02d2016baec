package org.guavagw.gateway.internal.placement;

import java.util.HashMap;
import java.util.Map;

/** Mean figures of the requests of each service, from those of this entry. Not thread-safe. */
final class RequestMeans {
  /** Weight of the newest request once there are many. */
  private static final double NEWEST_WEIGHT = 0.05;

  private static final double DEFAULT_DURATION_MILLIS = 500;
  private static final double MIN_DURATION_MILLIS = 1;

  private final Map<String, Means> byService = new HashMap<>();

  void onSent(String service, PrefillEstimate prefill) {
    Means means = byService.computeIfAbsent(service, s -> new Means());
    double weight = Math.max(NEWEST_WEIGHT, 1.0 / ++means.sent);
    means.tokens += weight * (prefill.promisedTokens() - means.tokens);
    means.uncachedTokens += weight * (prefill.tokens() - means.uncachedTokens);
  }

  void onEnded(String service, double millis) {
    Means means = byService.computeIfAbsent(service, s -> new Means());
    double weight = Math.max(NEWEST_WEIGHT, 1.0 / ++means.ended);
    means.durationMillis += weight * (millis - means.durationMillis);
  }

  double durationMillis(String service) {
    Means means = byService.get(service);
    return means == null
        ? DEFAULT_DURATION_MILLIS
        : Math.max(MIN_DURATION_MILLIS, means.durationMillis);
  }

  /** Returns the mean prompt and expected answer, in tokens. */
  double tokens(String service) {
    Means means = byService.get(service);
    return means == null ? 0 : means.tokens;
  }

  /** Returns the mean number of prompt tokens that are not cached. */
  double uncachedTokens(String service) {
    Means means = byService.get(service);
    return means == null ? 0 : means.uncachedTokens;
  }

  /** Means of one service. */
  private static final class Means {
    private double durationMillis = DEFAULT_DURATION_MILLIS;
    private int sent;
    private int ended;
    private double tokens;
    private double uncachedTokens;
  }
}
