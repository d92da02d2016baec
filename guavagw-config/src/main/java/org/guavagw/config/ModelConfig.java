package org.guavagw.config;

import java.util.List;

/** A model, its versions from oldest to newest and its price. Immutable. */
public record ModelConfig(String id, List<VersionConfig> versions, PriceConfig price) {
  public ModelConfig {
    versions = List.copyOf(versions);
  }
}
