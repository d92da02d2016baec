package org.guavagw.gateway.internal.relay;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import java.time.Duration;

/** What the caller of one connection has not yet taken of its answers. Traffic thread only. */
final class UnreadAnswers {
  /**
   * A caller that takes nothing of its answer for so long counts as gone. Socket buffers hide slow
   * reading for seconds.
   */
  private static final long MAX_STALL_NANOS = Duration.ofSeconds(20).toNanos();

  private final Channel channel;

  /** Bytes that were left at the last check. */
  private long bytesBefore;

  private long lastTakenNanos;

  UnreadAnswers(Channel channel) {
    this.channel = channel;
  }

  /** Records that an answer has been written. */
  void onAnswered() {
    bytesBefore = Long.MAX_VALUE;
  }

  /** Returns how much the socket of the caller has not taken yet. */
  long bytes() {
    ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
    return buffer == null ? 0 : buffer.totalPendingWriteBytes();
  }

  /** Returns whether the caller has still to read, and has done so within the limit. */
  boolean areBeingTaken(long nowNanos) {
    long left = bytes();
    if (left < bytesBefore) {
      bytesBefore = left;
      lastTakenNanos = nowNanos;
    }
    return left > 0 && nowNanos - lastTakenNanos < MAX_STALL_NANOS;
  }
}
