package org.guavagw.internal.peer;

import com.google.common.base.Ticker;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Connection that this entry opens to one peer, on demand and again after it was lost.
 *
 * <p>Invariants: at most one channel is current; frames are queued in order until its handshake is
 * done, up to a limit in bytes; when the channel is lost, all pending requests fail, so that none
 * waits on a dead connection. Thread-safe.
 */
final class PeerConnection {
  private final String memberId;
  private final PeerAddresses addresses;
  private final PeerMetrics peerMetrics;
  private final int maxQueuedBytes;
  private final Bootstrap bootstrap;
  private final Ticker ticker;
  private final Map<Long, CompletableFuture<PeerFrame>> pendingRequests = new ConcurrentHashMap<>();
  private final Deque<PeerFrame> queue = new ArrayDeque<>();
  private int queuedBytes;
  private Channel channel;
  private boolean ready;
  private long lastUsedNs;

  PeerConnection(
      String memberId,
      PeerAddresses addresses,
      PeerMetrics peerMetrics,
      PeerSettings settings,
      Bootstrap bootstrap,
      Ticker ticker) {
    this.memberId = memberId;
    this.addresses = addresses;
    this.peerMetrics = peerMetrics;
    this.maxQueuedBytes = settings.maxQueuedBytes();
    this.bootstrap = bootstrap;
    this.ticker = ticker;
  }

  String memberId() {
    return memberId;
  }

  /** Sends a frame, or queues it until the connection is open. */
  synchronized Optional<PeerFailure> send(PeerFrame frame) {
    lastUsedNs = ticker.read();
    if (ready) {
      return write(frame);
    }
    if (queuedBytes + frame.body().length > maxQueuedBytes) {
      peerMetrics.countEvent("queue-full");
      return Optional.of(PeerFailure.QUEUE_FULL);
    }
    if (channel == null && !connect()) {
      return Optional.of(PeerFailure.UNKNOWN_MEMBER);
    }
    queue.add(frame);
    queuedBytes += frame.body().length;
    return Optional.empty();
  }

  private Optional<PeerFailure> write(PeerFrame frame) {
    if (!channel.isWritable()) {
      peerMetrics.countEvent("queue-full");
      return Optional.of(PeerFailure.QUEUE_FULL);
    }
    ChannelActions.write(channel, frame);
    return Optional.empty();
  }

  private boolean connect() {
    Optional<PeerAddress> address = addresses.find(memberId);
    if (address.isEmpty()) {
      return false;
    }
    ChannelFuture connected = bootstrap.connect(address.get().host(), address.get().port());
    Channel opened = connected.channel();
    channel = opened;
    ChannelFuture unused = connected.addListener(f -> onConnect(opened, f.isSuccess()));
    return true;
  }

  private void onConnect(Channel opened, boolean success) {
    if (!success) {
      channelLost(opened, PeerFailure.UNREACHABLE);
      return;
    }
    ChannelActions.onClose(opened, c -> channelLost(c, PeerFailure.CONNECTION_LOST));
  }

  /** Sends the queued frames; called when both ends of a channel have proved their identity. */
  synchronized void handshakeCompleted(Channel opened) {
    if (opened != channel) {
      ChannelActions.close(opened);
      return;
    }
    ready = true;
    queue.forEach(f -> ChannelActions.write(opened, f));
    queue.clear();
    queuedBytes = 0;
  }

  /** Sends a request frame and returns a future for the answer frame. */
  CompletableFuture<PeerFrame> request(PeerFrame frame) {
    CompletableFuture<PeerFrame> answer = new CompletableFuture<>();
    pendingRequests.put(frame.id(), answer);
    var unused = answer.whenComplete((f, e) -> pendingRequests.remove(frame.id()));
    send(frame).ifPresent(f -> answer.completeExceptionally(new PeerException(f)));
    return answer;
  }

  /** Completes the pending request that an answer frame belongs to. */
  void completeRequest(PeerFrame frame) {
    CompletableFuture<PeerFrame> answer = pendingRequests.get(frame.id());
    if (answer == null) {
      peerMetrics.countEvent("late-answer");
      return;
    }
    answer.complete(frame);
  }

  /** Closes a channel if nothing was sent for the given time; returns whether it was closed. */
  synchronized boolean closeIfUnused(Channel opened, Duration time) {
    boolean used = !pendingRequests.isEmpty() || ticker.read() - lastUsedNs <= time.toNanos();
    if (used || opened != channel) {
      return false;
    }
    channel = null;
    ready = false;
    ChannelActions.close(opened);
    return true;
  }

  /** Closes the current channel and fails its requests; the next frame opens a new channel. */
  void close(PeerFailure reason) {
    Channel closing;
    synchronized (this) {
      closing = channel;
    }
    if (closing != null) {
      channelLost(closing, reason);
      ChannelActions.close(closing);
    }
  }

  private void channelLost(Channel lostChannel, PeerFailure reason) {
    List<CompletableFuture<PeerFrame>> failed;
    synchronized (this) {
      if (lostChannel != channel) {
        return;
      }
      channel = null;
      ready = false;
      queue.clear();
      queuedBytes = 0;
      failed = new ArrayList<>(pendingRequests.values());
    }
    failed.forEach(f -> f.completeExceptionally(new PeerException(reason)));
  }
}
