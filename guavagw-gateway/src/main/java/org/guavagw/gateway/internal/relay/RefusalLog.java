package org.guavagw.gateway.internal.relay;

import org.guavagw.Refusal;
import org.guavagw.gateway.internal.control.CurrentControlView;

/** Logs and counts refusals of requests that were not admitted. Stateless. */
final class RefusalLog {
  private RefusalLog() {}

  static void write(
      CallerConnectionDependencies shared, String requestId, String target, Refusal refusal) {
    CurrentControlView view = shared.exchangeDependencies().currentView();
    shared
        .log()
        .failure("request_refused")
        .with("id", requestId)
        .with("target", target)
        .with("status", refusal.code().httpStatus())
        .with("reason", refusal.reason())
        .with("config_version", view.get().configVersion())
        .with("orders_age_ms", view.ordersAge().toMillis())
        .write();
    shared.exchangeDependencies().metrics().onRefused(refusal.code().wireName());
  }
}
