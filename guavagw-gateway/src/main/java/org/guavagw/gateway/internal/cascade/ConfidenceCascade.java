package org.guavagw.gateway.internal.cascade;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Function;
import org.guavagw.gateway.model.Route;
import org.guavagw.gateway.spi.CallerRequest;

/**
 * Asks the smallest model first and the strongest where the smallest doubts its answer.
 *
 * <p>Answers the price of strong models: reading a prompt costs the smallest model a small part of
 * what it costs the strongest, and its opinion comes with the first event, before the caller has
 * got anything. Also answers engines that are overloaded: the later the strongest model would
 * answer, the more doubt is accepted, so that its queue does not grow beyond the objective; callers
 * see the confidence of what they get. Stateless.
 */
public final class ConfidenceCascade implements ModelPolicy {
  /** Share of the remaining time up to which the strongest model answers well in time. */
  private static final double EASY_PRESSURE = 0.5;

  /**
   * Share of the remaining time from which every answer of the smallest model is passed on: another
   * prompt at the strongest would be late itself and make those behind it late as well.
   */
  private static final double HOPELESS_PRESSURE = 0.8;

  private final int acceptedConfidence;

  /**
   * A cascade.
   *
   * @param acceptedConfidence confidence in percent from which an answer is passed on
   */
  public ConfidenceCascade(int acceptedConfidence) {
    this.acceptedConfidence = acceptedConfidence;
  }

  @Override
  public Optional<String> first(Route route, CallerRequest request) {
    List<String> models = route.models();
    if (models.isEmpty()) {
      return Optional.empty();
    }
    boolean mayAskTwice = route.maxAttempts() > 1 && request.resumeAfter().isEmpty();
    return Optional.of(mayAskTwice ? models.get(0) : models.get(models.size() - 1));
  }

  @Override
  public Optional<String> instead(
      Route route, String model, OptionalInt confidence, Function<String, Outlook> outlook) {
    List<String> models = route.models();
    String strongest = models.get(models.size() - 1);
    int opinion = confidence.orElse(0);
    if (model.equals(strongest) || opinion >= acceptedConfidence) {
      return Optional.empty();
    }
    double accepted = accepted(outlook.apply(strongest).pressure());
    return opinion >= accepted ? Optional.empty() : Optional.of(strongest);
  }

  private double accepted(double pressure) {
    if (pressure <= EASY_PRESSURE) {
      return acceptedConfidence;
    }
    double strain = Math.min(1, (pressure - EASY_PRESSURE) / (HOPELESS_PRESSURE - EASY_PRESSURE));
    return acceptedConfidence * (1 - strain);
  }
}
