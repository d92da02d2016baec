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
 * An engine that batches continuously: requests take a slot, prefill their prompt and then decode;
 * interactive ones leave its queue first. Not thread-safe.
 */
final class ModelledEngine {
  private final BackendServerConfig config;
  private final EngineModel model;
  private final EventQueue events;
  private final Deque<Work> interactive = new ArrayDeque<>();
  private final Deque<Work> longs = new ArrayDeque<>();
  private final Map<Long, Boolean> prefixes = new LinkedHashMap<>(16, 0.75f, true);
  private final Set<Work> runningWork = new HashSet<>();
  private Set<Long> announced = Set.of();
  private int boot = 1;
  private long warmAtNanos;
  private boolean reachable = true;
  private long submitted;
  private long refused;
  private long coldOverloads;
  private int peakWaiting;

  ModelledEngine(BackendServerConfig config, EngineModel model, EventQueue events) {
    this.config = config;
    this.model = model;
    this.events = events;
  }

  BackendServerConfig config() {
    return config;
  }

  String bootId() {
    return config.id() + "-" + boot;
  }

  boolean isCold() {
    return events.read() < warmAtNanos;
  }

  void setReachable(boolean value) {
    reachable = value;
  }

  boolean isReachable() {
    return reachable;
  }

  /** Takes a request; the consumer is told once how it ended. */
  void submit(SimRequest request, Consumer<AttemptOutcome> done) {
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
    if (isCold() && runningWork.size() + waiting() >= model.coldSlots()) {
      coldOverloads++;
    }
    Work work = new Work(request, done, events.read());
    (request.requestClass() == RequestClass.INTERACTIVE ? interactive : longs).add(work);
    startNext();
    peakWaiting = Math.max(peakWaiting, waiting());
  }

  /** Starts anew: everything in it fails and it is in cold start for a while. */
  void restart() {
    boot++;
    warmAtNanos = events.read() + model.coldTime().toNanos();
    prefixes.clear();
    List<Work> lost = new ArrayList<>(runningWork);
    lost.addAll(interactive);
    lost.addAll(longs);
    runningWork.clear();
    interactive.clear();
    longs.clear();
    lost.forEach(w -> w.done().accept(AttemptOutcome.of(AttemptOutcome.Kind.FAILED)));
    events.at(warmAtNanos, this::startNext);
  }

  LoadReport report(long receivedNanos) {
    return new LoadReport(
        bootId(),
        isCold(),
        runningWork.size(),
        waiting(),
        isCold() ? model.coldSlots() : model.slots(),
        config.serves(),
        receivedNanos);
  }

  /** Changes of the prefix cache since the last call. */
  CacheEvents takeCacheEvents() {
    Set<Long> now = Set.copyOf(prefixes.keySet());
    List<Long> stored = Sets.difference(now, announced).stream().sorted().toList();
    List<Long> removed = Sets.difference(announced, now).stream().sorted().toList();
    announced = now;
    return new CacheEvents(bootId(), false, stored, removed);
  }

  int waiting() {
    return interactive.size() + longs.size();
  }

  int running() {
    return runningWork.size();
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
    while (runningWork.size() < slots && waiting() > 0) {
      start(interactive.isEmpty() ? longs.poll() : interactive.poll());
    }
  }

  private void start(Work work) {
    runningWork.add(work);
    SimRequest request = work.request();
    boolean cached = prefixes.put(request.prefixHash(), true) != null;
    if (prefixes.size() > model.cachedPrefixes()) {
      prefixes.remove(prefixes.keySet().iterator().next());
    }
    long prefill = model.prefillNanos(request, cached, isCold());
    long decode = model.decodeNanos(request, runningWork.size(), isCold());
    long firstByte = events.read() + prefill - work.arrivedNanos();
    events.after(prefill + decode, () -> finish(work, firstByte));
  }

  private void finish(Work work, long firstByteNanos) {
    if (!runningWork.remove(work)) {
      return;
    }
    startNext();
    work.done().accept(AttemptOutcome.completed(firstByteNanos));
  }

  /** A request inside the engine; equal only to itself. */
  private static final class Work {
    private final SimRequest request;
    private final Consumer<AttemptOutcome> done;
    private final long arrivedNanos;

    Work(SimRequest request, Consumer<AttemptOutcome> done, long arrivedNanos) {
      this.request = request;
      this.done = done;
      this.arrivedNanos = arrivedNanos;
    }

    SimRequest request() {
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
