package org.guavagw.gateway.internal.placement;

import org.guavagw.gateway.internal.peers.ServerNotices;

/** Receives what other entries tell of backend servers beside their work. */
@FunctionalInterface
public interface NoticeListener {
  /** Takes note of what an entry tells. */
  void onNotices(String entry, ServerNotices notices, long nowNanos);
}
