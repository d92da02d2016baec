package org.guavagw.gateway.internal.peers;

import java.util.HashMap;
import java.util.Map;

/**
 * What one or several entries have measured of backend servers and models. Immutable.
 *
 * @param servers logarithm of the speed of backend servers, by incarnation
 * @param models prefill times of models at speed 1, by model
 */
public record Measurements(Map<String, SampleSum> servers, Map<String, PrefillSums> models) {
  /** Nothing measured. */
  public static final Measurements NONE = new Measurements(Map.of(), Map.of());

  public Measurements {
    servers = Map.copyOf(servers);
    models = Map.copyOf(models);
  }

  /** Returns the sum of both. */
  public Measurements plus(Measurements other) {
    Map<String, SampleSum> serverSums = new HashMap<>(servers);
    other.servers.forEach((name, sum) -> serverSums.merge(name, sum, SampleSum::plus));
    Map<String, PrefillSums> modelSums = new HashMap<>(models);
    other.models.forEach((name, sum) -> modelSums.merge(name, sum, PrefillSums::plus));
    return new Measurements(serverSums, modelSums);
  }
}
