package org.guavagw.internal.load;

import java.util.List;

/** Receives the cache events of the backend servers that this entry polls. */
@FunctionalInterface
public interface CacheEventListener {
  /** Called with events in order, on the control thread. */
  void onEvents(String backendServer, List<CacheEvent> events);
}
