package org.guavagw.internal.load;

import java.util.List;

/** Takes the cache events of the backend servers that this entry polls. */
@FunctionalInterface
public interface CacheEventListener {
  /** Takes events in order; called on the control thread. */
  void onEvents(String backendServer, List<CacheEvent> events);
}
