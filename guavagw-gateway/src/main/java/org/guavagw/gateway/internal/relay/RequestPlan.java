package org.guavagw.gateway.internal.relay;

import java.util.OptionalLong;
import java.util.concurrent.ThreadLocalRandom;
import org.guavagw.gateway.internal.admission.RequestTraits;
import org.guavagw.gateway.model.Route;
import org.guavagw.gateway.model.ServiceShare;
import org.guavagw.gateway.model.Team;

/**
 * The properties of a request that are the same for all its attempts. Immutable.
 *
 * @param service service that the request is sent to
 * @param session id of the session, whose requests are served by one version
 * @param deadlineNanos monotonic time by which the caller must have its answer
 * @param priority priority at the engines; 0 is the most urgent
 */
record RequestPlan(String service, String session, long deadlineNanos, int priority) {
  private static final int DEFAULT_PRIORITY = 5;
  private static final int MAX_PRIORITY = 9;

  /** Work of generating a token relative to that of reading one. */
  private static final double ANSWER_TOKEN_COST = 10;

  private static final long NANOS_PER_MILLI = 1_000_000;

  static RequestPlan of(AdmittedRequest request) {
    long routeLimit = request.route().timeout().toMillis();
    OptionalLong callerLimit = request.caller().waitMillis();
    long millis =
        callerLimit.isPresent() ? Math.min(routeLimit, callerLimit.getAsLong()) : routeLimit;
    return new RequestPlan(
        pickService(request.route()),
        sessionOf(request),
        request.arrivedNanos() + millis * NANOS_PER_MILLI,
        priorityOf(request));
  }

  /** Returns what decides the order of the request among others. */
  RequestTraits traits(AdmittedRequest request) {
    Route route = request.route();
    return new RequestTraits(
        service,
        request.team().map(Team::name).orElse(""),
        route.name(),
        rankOf(request),
        1 + request.caller().promptTokens() + ANSWER_TOKEN_COST * request.caller().answerTokens(),
        request.body().readableBytes(),
        request.arrivedNanos(),
        request.arrivedNanos() + route.objective().toNanos(),
        deadlineNanos);
  }

  private static String pickService(Route route) {
    int total = route.shares().stream().mapToInt(ServiceShare::weight).sum();
    int point = total > 0 ? ThreadLocalRandom.current().nextInt(total) : 0;
    for (ServiceShare share : route.shares()) {
      point -= share.weight();
      if (point < 0) {
        return share.service();
      }
    }
    return route.shares().get(0).service();
  }

  /**
   * Returns the session id. Requests that name no session share one if the last part of their
   * prompt is the same.
   */
  private static String sessionOf(AdmittedRequest request) {
    int parts = request.caller().prompt().size();
    String fallback =
        parts == 0 ? request.caller().id() : request.caller().prompt().get(parts - 1).id();
    return request.caller().session().orElse(fallback);
  }

  private static int rankOf(AdmittedRequest request) {
    return request.team().stream()
        .flatMapToInt(t -> t.priority().stream())
        .findFirst()
        .orElse(request.route().priority());
  }

  private static int priorityOf(AdmittedRequest request) {
    if (request.route().models().isEmpty()) {
      return DEFAULT_PRIORITY;
    }
    return Math.min(MAX_PRIORITY, Math.max(0, rankOf(request)));
  }
}
