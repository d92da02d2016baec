package org.guavagw.config;

import static org.guavagw.config.GatewayConfigs.append;

/** Builder of a {@link ModelConfig}. Immutable: each call returns a new draft. */
public record ModelDraft(ModelConfig build) {
  /** Sets the price in micro-units of currency per thousand tokens. */
  public ModelDraft pricedAt(long inputMicros, long outputMicros) {
    PriceConfig price = new PriceConfig(inputMicros, outputMicros);
    return new ModelDraft(new ModelConfig(build.id(), build.versions(), price));
  }

  /** Adds a version that takes traffic. */
  public ModelDraft serving(String version) {
    return version(version, VersionState.SERVING);
  }

  /** Adds a version that takes traffic only through a rollout. */
  public ModelDraft staged(String version) {
    return version(version, VersionState.STAGED);
  }

  /** Adds a version that takes no new requests. */
  public ModelDraft withdrawn(String version) {
    return version(version, VersionState.WITHDRAWN);
  }

  private ModelDraft version(String version, VersionState state) {
    VersionConfig added = new VersionConfig(version, state);
    return new ModelDraft(
        new ModelConfig(build.id(), append(build.versions(), added), build.price()));
  }
}
