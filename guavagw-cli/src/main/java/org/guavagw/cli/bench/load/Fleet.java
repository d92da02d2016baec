package org.guavagw.cli.bench.load;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.guavagw.config.BackendServerConfig;
import org.guavagw.internal.limits.AttemptOutcome;

/**
 * The modelled engines, the network in front of them, and permits for cold ones. Not thread-safe.
 */
final class Fleet {
  private static final long LOCAL_DELAY_NANOS = 200_000;

  private final Map<String, ModelledEngine> engines = new LinkedHashMap<>();
  private final Map<String, Integer> permits = new HashMap<>();
  private final EventQueue events;
  private final SimLayout layout;

  Fleet(SimLayout layout, EngineModel model, EventQueue events) {
    this.layout = layout;
    this.events = events;
    for (BackendServerConfig server : layout.config(model, "").backendServers()) {
      engines.put(server.id(), new ModelledEngine(server, model, events));
    }
  }

  Collection<ModelledEngine> engines() {
    return engines.values();
  }

  ModelledEngine engine(String id) {
    return engines.get(id);
  }

  /** Sends a request from a data centre; the consumer hears the outcome after the way back. */
  void send(
      String fromDataCentre, String backendId, SimRequest request, Consumer<AttemptOutcome> done) {
    ModelledEngine engine = engines.get(backendId);
    boolean local = fromDataCentre.equals(engine.config().dataCentre());
    long delay = local ? LOCAL_DELAY_NANOS : layout.oneWay().toNanos();
    events.after(
        delay, () -> engine.submit(request, o -> events.after(delay, () -> done.accept(o))));
  }

  boolean tryPermit(String backendId) {
    int taken = permits.getOrDefault(backendId, 0);
    if (taken >= engines.get(backendId).config().coldSlots()) {
      return false;
    }
    permits.put(backendId, taken + 1);
    return true;
  }

  void releasePermit(String backendId) {
    permits.merge(backendId, -1, Integer::sum);
  }
}
