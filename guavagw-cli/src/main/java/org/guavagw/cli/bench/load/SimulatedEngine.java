package org.guavagw.cli.bench.load;

import com.google.common.collect.Sets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.guavagw.config.BackendServerConfig;
import org.guavagw.internal.limits.AttemptOutcome;
import org.guavagw.internal.limits.RequestClass;
import org.guavagw.internal.placement.CacheEvents;
import org.guavagw.internal.placement.LoadReport;

/**
 * Engine with continuous batching: each request occupies a slot for prefill and decode. Interactive
 * requests are dequeued first. Not thread-safe.
 */
final class SimulatedEngine {
  private final BackendServerConfig config;
  private final EngineModel model;
  private final VirtualTimeScheduler scheduler;
  private final Deque<EngineRequest> interactive = new ArrayDeque<>();
  private final Deque<EngineRequest> longRequests = new ArrayDeque<>();
  private final Map<Long, Boolean> prefixes = new LinkedHashMap<>(16, 0.75f, true);
  private final Set<EngineRequest> runningRequests = new HashSet<>();
  private Set<Long> reportedPrefixes = Set.of();
  private int boot = 1;
  private long warmAtNanos;
  private boolean reachable = true;
  private long submitted;
  private long refused;
  private long coldOverloads;
  private int peakWaiting;

  SimulatedEngine(BackendServerConfig config, EngineModel model, VirtualTimeScheduler scheduler) {
    this.config = config;
    this.model = model;
    this.scheduler = scheduler;
  }

  BackendServerConfig config() {
    return config;
  }

  String bootId() {
    return config.id() + "-" + boot;
  }

  boolean isCold() {
    return scheduler.read() < warmAtNanos;
  }

  void setReachable(boolean value) {
    reachable = value;
  }

  boolean isReachable() {
    return reachable;
  }

  /** Submits a request and passes its outcome once to the consumer. */
  void submit(SimulatedRequest request, Consumer<AttemptOutcome> done) {
    submitted++;
    if (!reachable) {
      done.accept(AttemptOutcome.of(AttemptOutcome.Kind.UNREACHABLE));
      return;
    }
    if (waiting() >= model.maxWaiting()) {
      refused++;
      done.accept(AttemptOutcome.of(AttemptOutcome.Kind.REFUSED));
      return;
    }
    if (isCold() && runningRequests.size() + waiting() >= model.coldSlots()) {
      coldOverloads++;
    }
    EngineRequest engineRequest = new EngineRequest(request, done, scheduler.read());
    (request.requestClass() == RequestClass.INTERACTIVE ? interactive : longRequests)
        .add(engineRequest);
    startNext();
    peakWaiting = Math.max(peakWaiting, waiting());
  }

  /** Restarts the engine: all its requests fail, and a cold start begins. */
  void restart() {
    boot++;
    warmAtNanos = scheduler.read() + model.coldTime().toNanos();
    prefixes.clear();
    List<EngineRequest> lost = new ArrayList<>(runningRequests);
    lost.addAll(interactive);
    lost.addAll(longRequests);
    runningRequests.clear();
    interactive.clear();
    longRequests.clear();
    lost.forEach(r -> r.done().accept(AttemptOutcome.of(AttemptOutcome.Kind.FAILED)));
    scheduler.at(warmAtNanos, this::startNext);
  }

  LoadReport report(long receivedNanos) {
    return new LoadReport(
        bootId(),
        isCold(),
        runningRequests.size(),
        waiting(),
        isCold() ? model.coldSlots() : model.slots(),
        config.serves(),
        receivedNanos);
  }

  /** Returns the changes of the prefix cache since the last call. */
  CacheEvents takeCacheEvents() {
    Set<Long> now = Set.copyOf(prefixes.keySet());
    List<Long> stored = Sets.difference(now, reportedPrefixes).stream().sorted().toList();
    List<Long> removed = Sets.difference(reportedPrefixes, now).stream().sorted().toList();
    reportedPrefixes = now;
    return new CacheEvents(bootId(), false, stored, removed);
  }

  int waiting() {
    return interactive.size() + longRequests.size();
  }

  int running() {
    return runningRequests.size();
  }

  long submitted() {
    return submitted;
  }

  long refused() {
    return refused;
  }

  long coldOverloads() {
    return coldOverloads;
  }

  int peakWaiting() {
    return peakWaiting;
  }

  private void startNext() {
    int slots = isCold() ? model.coldSlots() : model.slots();
    while (runningRequests.size() < slots && waiting() > 0) {
      start(interactive.isEmpty() ? longRequests.poll() : interactive.poll());
    }
  }

  private void start(EngineRequest engineRequest) {
    runningRequests.add(engineRequest);
    SimulatedRequest request = engineRequest.request();
    boolean cached = prefixes.put(request.prefixHash(), true) != null;
    if (prefixes.size() > model.cachedPrefixes()) {
      prefixes.remove(prefixes.keySet().iterator().next());
    }
    long prefill = model.prefillNanos(request, cached, isCold());
    long decode = model.decodeNanos(request, runningRequests.size(), isCold());
    long firstByte = scheduler.read() + prefill - engineRequest.arrivedNanos();
    scheduler.after(prefill + decode, () -> finish(engineRequest, firstByte));
  }

  private void finish(EngineRequest engineRequest, long firstByteNanos) {
    if (!runningRequests.remove(engineRequest)) {
      return;
    }
    startNext();
    engineRequest.done().accept(AttemptOutcome.completed(firstByteNanos));
  }

  /** A queued or running request; compared by identity. */
  private static final class EngineRequest {
    private final SimulatedRequest request;
    private final Consumer<AttemptOutcome> done;
    private final long arrivedNanos;

    EngineRequest(SimulatedRequest request, Consumer<AttemptOutcome> done, long arrivedNanos) {
      this.request = request;
      this.done = done;
      this.arrivedNanos = arrivedNanos;
    }

    SimulatedRequest request() {
      return request;
    }

    Consumer<AttemptOutcome> done() {
      return done;
    }

    long arrivedNanos() {
      return arrivedNanos;
    }
  }
}
