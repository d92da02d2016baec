package org.guavagw.internal.pipeline;

import java.util.List;
import org.guavagw.config.GatewayConfig;
import org.guavagw.config.ModelConfig;
import org.guavagw.config.PlainServiceConfig;
import org.guavagw.config.PriceConfig;
import org.guavagw.internal.chat.ChatRequest;

/** Computes the maximum cost of a request before it runs. Stateless. */
final class CostCeiling {
  private static final PriceConfig FREE = new PriceConfig(0, 0);

  private CostCeiling() {}

  /**
   * Maximum cost of the input alone and of the whole request, in micro-units of currency.
   * Immutable.
   */
  record Ceiling(long inputMicros, long maxMicros) {}

  static Ceiling of(GatewayConfig config, Exchange exchange) {
    Target target = exchange.requireTarget();
    if (target instanceof Target.Service service) {
      long price =
          config.plainService(service.id()).map(PlainServiceConfig::microsPerCall).orElse(0L);
      return new Ceiling(price, price);
    }
    ChatRequest request = exchange.chat().request();
    long input = 0;
    long all = 0;
    for (String model : modelsOf(target)) {
      PriceConfig price = config.model(model).map(ModelConfig::price).orElse(FREE);
      int promptTokens = request.prompt().length();
      input += price.costMicros(promptTokens, 0);
      all += price.costMicros(promptTokens, request.maxTokens());
    }
    return new Ceiling(input, all);
  }

  private static List<String> modelsOf(Target target) {
    if (target instanceof Target.Cascade cascade) {
      return cascade.config().steps();
    }
    if (target instanceof Target.Version version) {
      return List.of(version.ref().model());
    }
    return List.of(target.name());
  }
}
