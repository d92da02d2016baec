package org.guavagw.gateway.internal.peers;

import java.util.HashMap;
import java.util.Map;
import org.guavagw.internal.peer.PeerMessage;

/**
 * The in-flight requests and the pending prefill of one entry by backend server. Immutable.
 *
 * @param servers work by incarnation, without backend servers that have none
 */
public record WorkReport(Map<String, ServerWork> servers) implements PeerMessage {
  public WorkReport {
    servers = Map.copyOf(servers);
  }

  /** Returns the sum of both reports. */
  public WorkReport plus(WorkReport other) {
    Map<String, ServerWork> sum = new HashMap<>(servers);
    other.servers.forEach((incarnation, work) -> sum.merge(incarnation, work, ServerWork::plus));
    return new WorkReport(sum);
  }

  /**
   * Work at one backend server. Immutable.
   *
   * @param running number of requests sent and not yet answered
   * @param waitingMillis estimated prefill time of the prompts that are still to be processed
   */
  public record ServerWork(int running, double waitingMillis) {
    ServerWork plus(ServerWork other) {
      return new ServerWork(running + other.running, waitingMillis + other.waitingMillis);
    }
  }
}
