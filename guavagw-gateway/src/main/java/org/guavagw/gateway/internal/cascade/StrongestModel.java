package org.guavagw.gateway.internal.cascade;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Function;
import org.guavagw.gateway.model.Route;
import org.guavagw.gateway.spi.CallerRequest;

/** Always asks the strongest model; the baseline for cascades. Stateless. */
public final class StrongestModel implements ModelPolicy {
  @Override
  public Optional<String> first(Route route, CallerRequest request) {
    List<String> models = route.models();
    return models.isEmpty() ? Optional.empty() : Optional.of(models.get(models.size() - 1));
  }

  @Override
  public Optional<String> instead(
      Route route, String model, OptionalInt confidence, Function<String, Outlook> outlook) {
    return Optional.empty();
  }
}
