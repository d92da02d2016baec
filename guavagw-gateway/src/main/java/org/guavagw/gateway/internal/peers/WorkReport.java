package org.guavagw.gateway.internal.peers;

import java.util.HashMap;
import java.util.Map;
import org.guavagw.internal.peer.PeerMessage;

/**
 * What one entry has under way at backend servers. Immutable.
 *
 * @param servers by incarnation; those with nothing under way are left out
 */
public record WorkReport(Map<String, ServerWork> servers) implements PeerMessage {
  public WorkReport {
    servers = Map.copyOf(servers);
  }

  /** The work of both. */
  public WorkReport plus(WorkReport other) {
    Map<String, ServerWork> sum = new HashMap<>(servers);
    other.servers.forEach((incarnation, work) -> sum.merge(incarnation, work, ServerWork::plus));
    return new WorkReport(sum);
  }

  /**
   * Work at one backend server. Immutable.
   *
   * @param running requests sent and not yet answered
   * @param waitingMillis time to read the prompts that it has not yet read
   */
  public record ServerWork(int running, double waitingMillis) {
    ServerWork plus(ServerWork other) {
      return new ServerWork(running + other.running, waitingMillis + other.waitingMillis);
    }
  }
}
