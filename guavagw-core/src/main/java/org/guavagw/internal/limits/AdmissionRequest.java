package org.guavagw.internal.limits;

/**
 * A request for admission. Immutable.
 *
 * @param weight fair-share weight of the team, at least 1
 * @param deadlineNanos monotonic time after which the answer is useless
 * @param cost expected work relative to an average request, above 0
 */
public record AdmissionRequest(
    String team, int weight, RequestClass requestClass, long deadlineNanos, double cost) {
  public AdmissionRequest {
    if (weight < 1 || !(cost > 0)) {
      throw new IllegalArgumentException("weight and cost must be positive");
    }
  }
}
