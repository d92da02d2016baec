package org.guavagw.gateway.internal.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import org.guavagw.gateway.internal.peers.ServiceDemand;

/**
 * Keeps one queue for each service.
 *
 * <p>Requests wait only while all backend servers that they may be sent to are full. Traffic thread
 * only.
 */
public final class QueueingScheduler implements RequestScheduler, SharedDemand {
  /** Number of queues from which on idle ones are removed. */
  private static final int MAX_IDLE_QUEUES = 256;

  private final Map<String, ServiceQueue> queues = new HashMap<>();
  private final QueueSettings settings;
  private final RetryAfterPolicy retryAfter;
  private final AdmissionListener listener;
  private final PollTimer timer;
  private final DoubleSupplier random;

  /**
   * Creates a scheduler.
   *
   * @param random source of numbers from 0 to 1, by which callers that return are spread
   */
  public QueueingScheduler(
      QueueSettings settings, AdmissionListener listener, PollTimer timer, DoubleSupplier random) {
    this.settings = settings;
    this.listener = listener;
    this.timer = timer;
    this.random = random;
    this.retryAfter = new RetryAfterPolicy(random);
  }

  @Override
  public void submit(WaitingRequest request, long nowNanos) {
    queues
        .computeIfAbsent(
            request.traits().service(),
            s -> new ServiceQueue(settings, newShareLimit(), retryAfter, listener, timer))
        .submit(request, nowNanos);
  }

  /** Starts no waiting request any more, as this entry ends what is left. */
  public void stop() {
    queues.values().forEach(ServiceQueue::stop);
  }

  private ShareLimit newShareLimit() {
    return new ShareLimit(settings.minServiceRatio(), random);
  }

  @Override
  public Map<String, ServiceDemand> demand(long nowNanos) {
    Map<String, ServiceDemand> demand = new HashMap<>();
    queues.forEach(
        (service, queue) -> {
          if (queue.isContended(nowNanos)) {
            demand.put(service, queue.demand(nowNanos));
          }
        });
    return demand;
  }

  @Override
  public void onPeerDemand(Map<String, ServiceDemand> others, long nowNanos) {
    queues.forEach(
        (service, queue) -> queue.onPeerDemand(Optional.ofNullable(others.get(service)), nowNanos));
  }

  @Override
  public void onAnswering(WaitingRequest request, long nowNanos) {
    ServiceQueue queue = queues.get(request.traits().service());
    if (queue != null) {
      queue.onAnswering(request, nowNanos);
    }
  }

  @Override
  public void onEnded(WaitingRequest request, long nowNanos) {
    ServiceQueue queue = queues.get(request.traits().service());
    if (queue != null) {
      queue.onEnded(request, nowNanos);
    }
  }

  @Override
  public void poll(long nowNanos) {
    if (queues.size() > MAX_IDLE_QUEUES) {
      queues.values().removeIf(ServiceQueue::isIdle);
    }
    List.copyOf(queues.values()).forEach(q -> q.poll(nowNanos));
  }

  @Override
  public int waiting() {
    return queues.values().stream().mapToInt(ServiceQueue::waiting).sum();
  }
}
