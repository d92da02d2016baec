package org.guavagw.internal.peer;

import java.time.Duration;

/**
 * Settings of the connections between entries. Immutable.
 *
 * @param secret shared by all entries; a connection that cannot prove it is refused
 * @param pingInterval idle time after which a ping is sent; after twice this time without a frame
 *     the connection is replaced
 */
public record PeerSettings(
    String bindHost,
    int bindPort,
    String secret,
    Duration pingInterval,
    Duration connectTimeout,
    int maxFrameBytes,
    int maxQueuedBytes) {
  private static final Duration PING_INTERVAL = Duration.ofSeconds(2);
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final int MAX_FRAME_BYTES = 1024 * 1024;
  private static final int MAX_QUEUED_BYTES = 2 * 1024 * 1024;

  /** Returns settings with the default timeouts and limits. */
  public static PeerSettings of(String bindHost, int bindPort, String secret) {
    return new PeerSettings(
        bindHost,
        bindPort,
        secret,
        PING_INTERVAL,
        CONNECT_TIMEOUT,
        MAX_FRAME_BYTES,
        MAX_QUEUED_BYTES);
  }

  /** Returns the same settings with another ping interval. */
  public PeerSettings withPingInterval(Duration interval) {
    return new PeerSettings(
        bindHost, bindPort, secret, interval, connectTimeout, maxFrameBytes, maxQueuedBytes);
  }
}
