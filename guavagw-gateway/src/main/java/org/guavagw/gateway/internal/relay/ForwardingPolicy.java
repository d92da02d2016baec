package org.guavagw.gateway.internal.relay;

import java.util.Set;

/**
 * Decides whether another entry may serve one request from here on. Traffic thread only.
 *
 * <p>Handles entries that are partitioned from the backend servers, before and after an attempt was
 * sent. Invariant: a request that another entry has forwarded is not forwarded again.
 */
final class ForwardingPolicy {
  private final ExchangeDependencies shared;
  private final AdmittedRequest request;
  private final RequestPlan plan;
  private final AttemptCounts counts;
  private boolean connectionsFailed;

  ForwardingPolicy(
      ExchangeDependencies shared,
      AdmittedRequest request,
      RequestPlan plan,
      AttemptCounts counts) {
    this.shared = shared;
    this.request = request;
    this.plan = plan;
    this.counts = counts;
  }

  /** Records that an attempt failed. */
  void onAttemptFailed(AttemptFailure failure) {
    connectionsFailed |= failure == AttemptFailure.UNREACHABLE;
  }

  /** Returns whether a request that no backend server can take here may be forwarded. */
  boolean mayForward() {
    return isCausedHere() && counts.allowsAnother();
  }

  /** Returns whether there is an entry to which the request may go if its attempt is given up. */
  boolean mayReplace(AttemptProgress pending, long now) {
    return isCausedHere() && counts.allowsReplacing(pending, now) && knowsEntry(now);
  }

  private boolean isCausedHere() {
    return !request.forwarded()
        && (connectionsFailed || shared.connectivity().isCutOff(plan.service()));
  }

  private boolean knowsEntry(long now) {
    return shared
        .forwarding()
        .selector()
        .select(request.caller().id(), plan.service(), Set.of(), now)
        .isPresent();
  }
}
