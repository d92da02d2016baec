package org.guavagw.gateway.internal.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.model.BackendServer;

/**
 * The backend servers by the keys of their registrations.
 *
 * <p>A registration that may have lapsed although its backend server lives is kept until {@link
 * #removeLapsed}. Not thread-safe.
 */
final class RegisteredBackends {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final Map<String, BackendServer> byId = new HashMap<>();
  private final Set<String> lapsed = new HashSet<>();
  private final DepartedServers departed = new DepartedServers();
  private final EventLog log;

  RegisteredBackends(EventLog log) {
    this.log = log;
  }

  /** Returns the keys that are not among those of some rows. */
  Set<String> idsWithout(Set<String> present) {
    Set<String> missing = new HashSet<>(byId.keySet());
    missing.removeAll(present);
    return missing;
  }

  /** Returns the backend servers by service. */
  Map<String, List<BackendServer>> byService() {
    Map<String, List<BackendServer>> byService = new HashMap<>();
    for (BackendServer server : byId.values()) {
      byService.computeIfAbsent(server.service(), s -> new ArrayList<>()).add(server);
    }
    byService.replaceAll((service, list) -> List.copyOf(list));
    return byService;
  }

  /**
   * Records a registration.
   *
   * @param fromCopy whether it was read from a copy to which the store was restored
   */
  void register(String id, BackendServer registered, boolean fromCopy, long nowNanos) {
    lapsed.remove(id);
    if (registered.draining()) {
      departed.add(registered.incarnation(), nowNanos);
    }
    BackendServer next =
        registered.draining() || departed.mayServe(registered.incarnation(), fromCopy)
            ? registered
            : registered.asDraining();
    BackendServer earlier = byId.put(id, next);
    if (earlier == null
        || earlier.draining() != next.draining()
        || !earlier.incarnation().equals(next.incarnation())) {
      log.event("backend_changed")
          .with("backend", next.id())
          .with("service", next.service())
          .with("version", next.version())
          .with("data_centre", next.dataCentre())
          .with("state", next.draining() ? "draining" : "ready")
          .with("cold_ms", Math.max(0, (next.coldUntilNanos() - nowNanos) / NANOS_PER_MILLI))
          .write();
    }
    departed.expire(nowNanos);
  }

  /** Records that a registration cannot be read, and so names no backend server to use. */
  void ignore(String id) {
    lapsed.remove(id);
    byId.remove(id);
  }

  /**
   * Records that a registration is gone.
   *
   * @param mayHaveLapsed whether the backend server may live nevertheless
   */
  void onGone(String id, boolean mayHaveLapsed, long nowNanos) {
    BackendServer server = byId.get(id);
    if (server == null) {
      return;
    }
    if (mayHaveLapsed && !server.draining()) {
      lapsed.add(id);
      log.event("backend_lapsed").with("backend", id).write();
      return;
    }
    remove(id, "not registered", nowNanos);
  }

  /** Removes backend servers that did not register again; returns whether there were any. */
  boolean removeLapsed(long nowNanos) {
    Set<String> gone = Set.copyOf(lapsed);
    lapsed.clear();
    gone.forEach(id -> remove(id, "registration lapsed", nowNanos));
    return !gone.isEmpty();
  }

  private void remove(String id, String reason, long nowNanos) {
    BackendServer removed = byId.remove(id);
    if (removed != null) {
      departed.add(removed.incarnation(), nowNanos);
      log.event("backend_gone").with("backend", id).with("reason", reason).write();
    }
  }
}
