package org.guavagw.internal.peer;

import java.time.Duration;

/**
 * How an entry talks to its peers. Immutable.
 *
 * @param secret known to all entries; a connection without it is refused
 * @param pingInterval silence after which a connection is probed; after twice this it is replaced
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

  /** Settings for ordinary use. */
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

  /** The same settings with another ping interval. */
  public PeerSettings withPingInterval(Duration interval) {
    return new PeerSettings(
        bindHost, bindPort, secret, interval, connectTimeout, maxFrameBytes, maxQueuedBytes);
  }
}
