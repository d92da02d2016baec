package org.guavagw.config;

import java.util.List;

/**
 * A backend server, its address and its capacity. Immutable.
 *
 * @param slots maximum number of concurrent requests when warm
 * @param coldSlots maximum number of concurrent requests during a cold start
 * @param checksFencing whether it refuses orders that carry an old fencing number
 * @param resumesStreams whether it can resume an interrupted stream
 * @param leaving whether it takes no new requests because it is about to be removed
 */
public record BackendServerConfig(
    String id,
    String dataCentre,
    String host,
    int port,
    List<VersionRef> serves,
    int slots,
    int coldSlots,
    boolean checksFencing,
    boolean resumesStreams,
    boolean leaving) {
  public BackendServerConfig {
    serves = List.copyOf(serves);
  }
}
