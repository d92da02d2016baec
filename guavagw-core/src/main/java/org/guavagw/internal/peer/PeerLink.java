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
 * This entry's own connection to one peer: opened when needed, replaced when broken or silent.
 *
 * <p>Invariants: at most one channel is current; frames wait in order while it opens, up to a bound
 * in bytes; when a channel goes, each request sent on it fails, so none waits on a dead connection.
 * Thread-safe.
 */
final class PeerLink {
  private final String memberId;
  private final PeerAddresses addresses;
  private final PeerTraffic traffic;
  private final int maxQueuedBytes;
  private final Bootstrap bootstrap;
  private final Ticker ticker;
  private final Map<Long, CompletableFuture<PeerFrame>> awaited = new ConcurrentHashMap<>();
  private final Deque<PeerFrame> queue = new ArrayDeque<>();
  private int queuedBytes;
  private Channel channel;
  private boolean ready;
  private long usedAtNs;

  PeerLink(
      String memberId,
      PeerAddresses addresses,
      PeerTraffic traffic,
      PeerSettings settings,
      Bootstrap bootstrap,
      Ticker ticker) {
    this.memberId = memberId;
    this.addresses = addresses;
    this.traffic = traffic;
    this.maxQueuedBytes = settings.maxQueuedBytes();
    this.bootstrap = bootstrap;
    this.ticker = ticker;
  }

  String memberId() {
    return memberId;
  }

  /** Sends a frame or queues it until the connection is open. */
  synchronized Optional<PeerFailure> send(PeerFrame frame) {
    usedAtNs = ticker.read();
    if (ready) {
      return write(frame);
    }
    if (queuedBytes + frame.body().length > maxQueuedBytes) {
      traffic.event("queue-full");
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
      traffic.event("queue-full");
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
      lost(opened, PeerFailure.UNREACHABLE);
      return;
    }
    ChannelActions.onClose(opened, c -> lost(c, PeerFailure.CONNECTION_LOST));
  }

  /** Called when both ends of a channel have proved who they are. */
  synchronized void open(Channel opened) {
    if (opened != channel) {
      ChannelActions.close(opened);
      return;
    }
    ready = true;
    queue.forEach(f -> ChannelActions.write(opened, f));
    queue.clear();
    queuedBytes = 0;
  }

  /** Sends a request frame; the future completes with the answer frame. */
  CompletableFuture<PeerFrame> request(PeerFrame frame) {
    CompletableFuture<PeerFrame> answer = new CompletableFuture<>();
    awaited.put(frame.id(), answer);
    var unused = answer.whenComplete((f, e) -> awaited.remove(frame.id()));
    send(frame).ifPresent(f -> answer.completeExceptionally(new PeerException(f)));
    return answer;
  }

  /** Completes the request that a frame answers. */
  void answered(PeerFrame frame) {
    CompletableFuture<PeerFrame> answer = awaited.get(frame.id());
    if (answer == null) {
      traffic.event("late-answer");
      return;
    }
    answer.complete(frame);
  }

  /** Closes a channel if nothing was sent for so long, and says whether it did. */
  synchronized boolean closeIfUnused(Channel opened, Duration time) {
    boolean used = !awaited.isEmpty() || ticker.read() - usedAtNs <= time.toNanos();
    if (used || opened != channel) {
      return false;
    }
    channel = null;
    ready = false;
    ChannelActions.close(opened);
    return true;
  }

  /** Gives up the current channel; the next frame opens a fresh one. */
  void close(PeerFailure reason) {
    Channel closing;
    synchronized (this) {
      closing = channel;
    }
    if (closing != null) {
      lost(closing, reason);
      ChannelActions.close(closing);
    }
  }

  private void lost(Channel gone, PeerFailure reason) {
    List<CompletableFuture<PeerFrame>> failed;
    synchronized (this) {
      if (gone != channel) {
        return;
      }
      channel = null;
      ready = false;
      queue.clear();
      queuedBytes = 0;
      failed = new ArrayList<>(awaited.values());
    }
    failed.forEach(f -> f.completeExceptionally(new PeerException(reason)));
  }
}
