package org.guavagw.gateway.internal.cascade;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Function;
import org.guavagw.gateway.model.Route;
import org.guavagw.gateway.spi.CallerRequest;

/**
 * Uses the smallest model first and escalates to the strongest if the confidence is too low.
 *
 * <p>This saves cost: prefill on the smallest model is much cheaper than on the strongest, and the
 * confidence arrives with the first event, before anything is passed on to the caller. Under
 * overload, the later the strongest model would answer, the lower the required confidence, so that
 * its queue does not grow beyond the latency objective; callers see the confidence of each answer.
 * Stateless.
 */
public final class ConfidenceCascade implements ModelSelector {
  /**
   * Share of the remaining time up to which the full confidence is required, because the strongest
   * model still answers well in time.
   */
  private static final double FULL_CONFIDENCE_TIME_SHARE = 0.5;

  /**
   * Share of the remaining time from which every answer of the smallest model is accepted: another
   * prompt at the strongest model would be late and would delay those queued behind it.
   */
  private static final double NO_CONFIDENCE_TIME_SHARE = 0.8;

  private final int acceptedConfidence;

  /**
   * Creates a cascade.
   *
   * @param acceptedConfidence confidence in percent from which an answer is always accepted
   */
  public ConfidenceCascade(int acceptedConfidence) {
    this.acceptedConfidence = acceptedConfidence;
  }

  @Override
  public Optional<String> initialModel(Route route, CallerRequest request) {
    List<String> models = route.models();
    if (models.isEmpty()) {
      return Optional.empty();
    }
    boolean mayEscalate = route.maxAttempts() > 1 && request.resumeAfter().isEmpty();
    return Optional.of(mayEscalate ? models.get(0) : models.get(models.size() - 1));
  }

  @Override
  public Optional<String> escalationModel(
      Route route,
      String model,
      OptionalInt confidence,
      Function<String, AttemptEstimate> estimate) {
    List<String> models = route.models();
    String strongest = models.get(models.size() - 1);
    int reported = confidence.orElse(0);
    if (model.equals(strongest) || reported >= acceptedConfidence) {
      return Optional.empty();
    }
    double required = requiredConfidence(estimate.apply(strongest).remainingTimeShare());
    return reported >= required ? Optional.empty() : Optional.of(strongest);
  }

  private double requiredConfidence(double timeShare) {
    if (timeShare <= FULL_CONFIDENCE_TIME_SHARE) {
      return acceptedConfidence;
    }
    double reduction =
        Math.min(
            1,
            (timeShare - FULL_CONFIDENCE_TIME_SHARE)
                / (NO_CONFIDENCE_TIME_SHARE - FULL_CONFIDENCE_TIME_SHARE));
    return acceptedConfidence * (1 - reduction);
  }
}
