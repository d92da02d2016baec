package org.guavagw.config;

import java.util.List;

/**
 * A backend server and what it bears. Immutable.
 *
 * @param slots requests that it runs at once when warm
 * @param coldSlots requests that it bears at once in cold start
 * @param checksFencing whether it refuses orders that carry an old fencing number
 * @param resumesStreams whether a cut stream can be taken up again
 * @param leaving whether it takes no new work because it is about to go
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
