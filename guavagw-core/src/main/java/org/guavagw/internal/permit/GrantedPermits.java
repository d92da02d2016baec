package org.guavagw.internal.permit;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.guavagw.internal.peer.PeerIdentity;
import org.guavagw.internal.permit.PermitMessage.HeldPermit;

/**
 * The permits granted for the backend servers of one data centre.
 *
 * <p>Invariant: {@link #grant} never exceeds the limit of a backend server. A permit counts until
 * it is released, ends, or its holder's process is gone. Confined to one thread.
 */
final class GrantedPermits {
  private final Map<String, Map<PermitKey, Long>> endNanosByServer = new HashMap<>();

  /** A permit, identified by its holder's process and the holder's id for it. Immutable. */
  private record PermitKey(PeerIdentity holder, long id) {}

  /**
   * Grants a permit if fewer than the limit are granted. Repeating a request has no further effect.
   */
  boolean grant(PeerIdentity holder, HeldPermit permit, int limit, long nowNanos) {
    Map<PermitKey, Long> granted = permitsFor(permit.backendServer());
    granted.values().removeIf(end -> end - nowNanos <= 0);
    PermitKey key = new PermitKey(holder, permit.id());
    if (!granted.containsKey(key) && granted.size() >= limit) {
      return false;
    }
    record(holder, permit, nowNanos);
    return true;
  }

  /** Records a permit that an earlier owner granted, regardless of the limit. */
  void record(PeerIdentity holder, HeldPermit permit, long nowNanos) {
    long end = nowNanos + TimeUnit.MILLISECONDS.toNanos(permit.endsInMs());
    permitsFor(permit.backendServer()).put(new PermitKey(holder, permit.id()), end);
  }

  void release(PeerIdentity holder, String backendServer, long id) {
    permitsFor(backendServer).remove(new PermitKey(holder, id));
  }

  /**
   * Drops the permits of processes that are gone, since their connections to backend servers ended
   * with them.
   */
  void dropHolders(Predicate<PeerIdentity> gone) {
    endNanosByServer
        .values()
        .forEach(granted -> granted.keySet().removeIf(k -> gone.test(k.holder())));
  }

  /** Returns the number of permits granted for a backend server. */
  int grantedCount(String backendServer) {
    return permitsFor(backendServer).size();
  }

  void clear() {
    endNanosByServer.clear();
  }

  private Map<PermitKey, Long> permitsFor(String backendServer) {
    return endNanosByServer.computeIfAbsent(backendServer, s -> new HashMap<>());
  }
}
