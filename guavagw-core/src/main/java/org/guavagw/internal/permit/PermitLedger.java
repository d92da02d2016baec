package org.guavagw.internal.permit;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.guavagw.internal.peer.PeerIdentity;
import org.guavagw.internal.permit.PermitMessage.HeldPermit;

/**
 * The permits that are out for the backend servers of one data centre.
 *
 * <p>Invariant: {@link #grant} never lets more than the limit be out for a backend server. A permit
 * is out until it is released, ends, or its holder's process is gone. Confined to one thread.
 */
final class PermitLedger {
  private final Map<String, Map<PermitKey, Long>> endNanosByServer = new HashMap<>();

  /** A holder's process and its number for the permit; immutable. */
  private record PermitKey(PeerIdentity holder, long id) {}

  /** Grants a permit if fewer than the limit are out; repeating an ask grants it once. */
  boolean grant(PeerIdentity holder, HeldPermit asked, int limit, long nowNanos) {
    Map<PermitKey, Long> out = outFor(asked.backendServer());
    out.values().removeIf(end -> end - nowNanos <= 0);
    PermitKey key = new PermitKey(holder, asked.id());
    if (!out.containsKey(key) && out.size() >= limit) {
      return false;
    }
    record(holder, asked, nowNanos);
    return true;
  }

  /** Records a permit that an earlier owner granted. */
  void record(PeerIdentity holder, HeldPermit permit, long nowNanos) {
    long end = nowNanos + TimeUnit.MILLISECONDS.toNanos(permit.endsInMs());
    outFor(permit.backendServer()).put(new PermitKey(holder, permit.id()), end);
  }

  void release(PeerIdentity holder, String backendServer, long id) {
    outFor(backendServer).remove(new PermitKey(holder, id));
  }

  /** Drops permits of processes that are gone, whose connections went with them. */
  void dropHolders(Predicate<PeerIdentity> gone) {
    endNanosByServer.values().forEach(out -> out.keySet().removeIf(k -> gone.test(k.holder())));
  }

  /** How many permits are out for a backend server. */
  int out(String backendServer) {
    return outFor(backendServer).size();
  }

  void clear() {
    endNanosByServer.clear();
  }

  private Map<PermitKey, Long> outFor(String backendServer) {
    return endNanosByServer.computeIfAbsent(backendServer, s -> new HashMap<>());
  }
}
