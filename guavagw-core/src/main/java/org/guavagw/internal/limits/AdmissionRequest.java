package org.guavagw.internal.limits;

/**
 * A request that asks to run. Immutable.
 *
 * @param weight the team's fair-share weight, at least 1
 * @param deadlineNanos monotonic time after which the request is worthless
 * @param cost expected work relative to an ordinary request, above 0
 */
public record AdmissionRequest(
    String team, int weight, RequestClass requestClass, long deadlineNanos, double cost) {
  public AdmissionRequest {
    if (weight < 1 || !(cost > 0)) {
      throw new IllegalArgumentException("weight and cost must be positive");
    }
  }
}
