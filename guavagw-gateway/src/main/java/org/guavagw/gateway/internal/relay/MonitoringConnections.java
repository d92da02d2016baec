package org.guavagw.gateway.internal.relay;

import io.netty.channel.Channel;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The open connections of a monitoring server, up to a limit beyond which the one whose last
 * request is longest ago is closed: a probe that has just connected is answered before its turn
 * comes. Traffic thread only.
 */
@SuppressWarnings("FutureReturnValueIgnored")
final class MonitoringConnections {
  /** Far more than the balancer, the operators and their collectors open. */
  static final int MAX_CONNECTIONS = 64;

  /** From the longest unused to the last used. */
  private final Set<Channel> byLastUse = new LinkedHashSet<>();

  void add(Channel channel) {
    if (byLastUse.size() >= MAX_CONNECTIONS) {
      Channel longestUnused = byLastUse.iterator().next();
      byLastUse.remove(longestUnused);
      longestUnused.close();
    }
    byLastUse.add(channel);
  }

  void onUsed(Channel channel) {
    if (byLastUse.remove(channel)) {
      byLastUse.add(channel);
    }
  }

  void remove(Channel channel) {
    byLastUse.remove(channel);
  }
}
