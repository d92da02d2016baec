package org.guavagw.cli.bench.load;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.guavagw.config.BackendServerConfig;
import org.guavagw.internal.limits.AttemptOutcome;

/** The simulated engines with their network delays and cold start permits. Not thread-safe. */
final class EngineFleet {
  private static final long LOCAL_DELAY_NANOS = 200_000;

  private final Map<String, SimulatedEngine> engines = new LinkedHashMap<>();
  private final Map<String, Integer> permits = new HashMap<>();
  private final VirtualTimeScheduler scheduler;
  private final SimulatedTopology topology;

  EngineFleet(SimulatedTopology topology, EngineModel model, VirtualTimeScheduler scheduler) {
    this.topology = topology;
    this.scheduler = scheduler;
    for (BackendServerConfig server : topology.config(model, "").backendServers()) {
      engines.put(server.id(), new SimulatedEngine(server, model, scheduler));
    }
  }

  Collection<SimulatedEngine> engines() {
    return engines.values();
  }

  SimulatedEngine engine(String id) {
    return engines.get(id);
  }

  /** Sends a request from a data centre; delivers the outcome after the return delay. */
  void send(
      String fromDataCentre,
      String backendId,
      SimulatedRequest request,
      Consumer<AttemptOutcome> done) {
    SimulatedEngine engine = engines.get(backendId);
    boolean local = fromDataCentre.equals(engine.config().dataCentre());
    long delay = local ? LOCAL_DELAY_NANOS : topology.oneWay().toNanos();
    scheduler.after(
        delay, () -> engine.submit(request, o -> scheduler.after(delay, () -> done.accept(o))));
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
