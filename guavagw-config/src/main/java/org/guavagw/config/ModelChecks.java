package org.guavagw.config;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** Checks data centres, models and cascades. Stateless. */
final class ModelChecks {
  private ModelChecks() {}

  static void check(GatewayConfig config, FaultCollector faults) {
    checkDataCentres(config.dataCentres(), faults);
    List<ModelConfig> models = config.models();
    faults.requireDistinct("$.models", ".id", models, ModelConfig::id);
    for (int i = 0; i < models.size(); i++) {
      checkModel("$.models[" + i + "]", models.get(i), faults);
    }
    List<CascadeConfig> cascades = config.cascades();
    faults.requireDistinct("$.cascades", ".taskClass", cascades, CascadeConfig::taskClass);
    Set<String> ids = models.stream().map(ModelConfig::id).collect(Collectors.toSet());
    for (int i = 0; i < cascades.size(); i++) {
      String path = "$.cascades[" + i + "]";
      CascadeConfig cascade = cascades.get(i);
      checkCascade(path, cascade, ids, faults);
      checkPrices(path, cascade, config, faults);
    }
  }

  private static void checkDataCentres(List<DataCentreConfig> centres, FaultCollector faults) {
    faults.requireDistinct("$.dataCentres", ".id", centres, DataCentreConfig::id);
    for (int i = 0; i < centres.size(); i++) {
      String path = "$.dataCentres[" + i + "]";
      faults.requireName(path + ".id", centres.get(i).id());
      faults.requireName(path + ".region", centres.get(i).region());
    }
  }

  private static void checkModel(String path, ModelConfig model, FaultCollector faults) {
    faults.requireName(path + ".id", model.id());
    faults.requireDistinct(path + ".versions", ".id", model.versions(), VersionConfig::id);
    for (int i = 0; i < model.versions().size(); i++) {
      faults.requireName(path + ".versions[" + i + "].id", model.versions().get(i).id());
    }
    PriceConfig price = model.price();
    String prices = path + ".price.";
    faults.requireNotNegative(
        prices + "inputMicrosPerThousandTokens", price.inputMicrosPerThousandTokens());
    faults.requireNotNegative(
        prices + "outputMicrosPerThousandTokens", price.outputMicrosPerThousandTokens());
  }

  private static void checkCascade(
      String path, CascadeConfig cascade, Set<String> models, FaultCollector faults) {
    faults.requireName(path + ".taskClass", cascade.taskClass());
    if (models.contains(cascade.taskClass())) {
      faults.add(
          path + ".taskClass",
          "a model is also named '" + cascade.taskClass() + "'",
          "rename the task class");
    }
    if (cascade.steps().isEmpty()) {
      faults.add(path + ".steps", "there are no steps", "name at least one model");
    }
    faults.requireDistinct(path + ".steps", "", cascade.steps(), s -> s);
    for (int i = 0; i < cascade.steps().size(); i++) {
      faults.requireKnown(path + ".steps[" + i + "]", "model", cascade.steps().get(i), models);
    }
    faults.requireFraction(path + ".qualityTarget", cascade.qualityTarget());
    faults.requireFraction(path + ".latencyWeight", cascade.latencyWeight());
  }

  private static void checkPrices(
      String path, CascadeConfig cascade, GatewayConfig config, FaultCollector faults) {
    double highest = 0;
    for (int i = 0; i < cascade.steps().size(); i++) {
      Optional<ModelConfig> model = config.model(cascade.steps().get(i));
      if (model.isEmpty()) {
        continue;
      }
      double price = priceOf(model.get().price());
      if (price < highest) {
        faults.add(
            path + ".steps[" + i + "]",
            "'" + model.get().id() + "' costs less than the step before it",
            "order the steps from the cheapest to the most expensive");
      }
      highest = Math.max(highest, price);
    }
  }

  private static double priceOf(PriceConfig price) {
    return (double) price.inputMicrosPerThousandTokens() + price.outputMicrosPerThousandTokens();
  }
}
