package org.guavagw.gateway.internal.cascade;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.guavagw.gateway.model.Route;
import org.guavagw.gateway.spi.CallerRequest;

/**
 * Asks the smallest model first and the strongest where the smallest doubts its answer.
 *
 * <p>Answers the price of strong models: reading a prompt costs the smallest model a small part of
 * what it costs the strongest, and its opinion comes with the first event, before the caller has
 * got anything. Stateless.
 */
public final class ConfidenceCascade implements ModelPolicy {
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
      Route route, CallerRequest request, String model, OptionalInt confidence) {
    List<String> models = route.models();
    String strongest = models.get(models.size() - 1);
    if (model.equals(strongest) || confidence.orElse(0) >= acceptedConfidence) {
      return Optional.empty();
    }
    return Optional.of(strongest);
  }
}
