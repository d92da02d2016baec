package org.guavagw.gateway.internal.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.guavagw.Refusal;
import org.guavagw.RefusalCode;
import org.guavagw.gateway.internal.admission.QueuedRequest.State;
import org.guavagw.gateway.internal.peers.ServiceDemand;

/**
 * Starts, queues and refuses the requests for one service.
 *
 * <p>Traffic thread only. Invariants: a request is known from its arrival until it has ended or was
 * refused; a request is started or refused at most once; none is refused while nothing waits and it
 * can start; a new request starts before one that waits only if it is more urgent or the first one
 * that waits cannot start.
 */
final class ServiceQueue {
  /** Requests that are tried for each place; others need the same backend servers mostly. */
  private static final int MAX_TRIES = 4;

  /** Times that others may start before a request that finds no room, as it needs more of it. */
  private static final int MAX_BYPASSES = 16;

  /** Time for which an attempt without room shows that servers are full. */
  private static final Duration FULL_TIME = Duration.ofMillis(300);

  /** How often rates without events are removed. */
  private static final Duration FORGET_PERIOD = Duration.ofSeconds(1);

  /** Time for which demand is reported after servers had no room. */
  private static final Duration CONTENTION_TIME = Duration.ofSeconds(3);

  private final Map<WaitingRequest, QueuedRequest> known = new HashMap<>();
  private final RankedQueue queue = new RankedQueue();
  private final RunTimes runTimes = new RunTimes();
  private final Demand demand = new Demand();
  private final DrainRate drain = new DrainRate(runTimes);
  private final MinimumService minimum;
  private final ShareLimit share;
  private final QueueLimits limits;
  private final RetryAfterPolicy retryAfter;
  private final AdmissionListener listener;
  private final PollTimer timer;
  private boolean stopped;
  private boolean draining;
  private long forgottenNanos;
  private boolean everFull;
  private boolean everContended;
  private long contendedNanos;
  private long fullNanos;

  ServiceQueue(
      QueueSettings settings,
      ShareLimit share,
      RetryAfterPolicy retryAfter,
      AdmissionListener listener,
      PollTimer timer) {
    this.retryAfter = retryAfter;
    this.listener = listener;
    this.timer = timer;
    this.minimum = new MinimumService(settings.minServiceRatio());
    this.share = share;
    WaitEstimator estimator = new WaitEstimator(queue, demand, drain, settings.minServiceRatio());
    this.limits = new QueueLimits(settings, queue, estimator, drain, runTimes);
  }

  int waiting() {
    return queue.size();
  }

  /** Returns whether no request is known that has not ended. */
  boolean isIdle() {
    return known.isEmpty();
  }

  void submit(WaitingRequest submitted, long nowNanos) {
    QueuedRequest request = new QueuedRequest(submitted);
    RequestTraits traits = request.traits();
    known.put(submitted, request);
    demand.onArrival(traits, runTimes.runNanos(traits.route()), nowNanos);
    minimum.onOffered(traits, nowNanos);
    listener.onOffered(traits);
    request.setLatestStart(runTimes, nowNanos);
    startWaiting(1, nowNanos);
    boolean first =
        share.allows(drain.running()) && (queue.isEmpty() || mayOvertake(request, nowNanos));
    if (!first || !tryStart(request, nowNanos)) {
      queueOrRefuse(request, nowNanos);
    }
  }

  /** Returns whether no request waits that goes before a new one and could start. */
  private boolean mayOvertake(QueuedRequest request, long nowNanos) {
    QueuedRequest first = queue.heads().get(0);
    return request.traits().rank() < first.traits().rank()
        || !first.blocksOthers(MAX_BYPASSES, nowNanos);
  }

  private void queueOrRefuse(QueuedRequest request, long nowNanos) {
    Optional<RefusalReason> refusal = limits.refusalOfNew(request, nowNanos);
    if (refusal.isPresent()) {
      refuse(request, refusal.get(), nowNanos);
      return;
    }
    if (limits.isFull(request) && !tryDisplace(request, nowNanos)) {
      refuse(request, RefusalReason.QUEUE_FULL, nowNanos);
      return;
    }
    QueueState state = limits.state(request, nowNanos);
    queue.add(request);
    drain.setWaiting(true, nowNanos);
    listener.onQueued(request.request(), state);
    if (limits.isWaitUnknown(request, nowNanos)) {
      request.setProvisional(true);
      timer.pollAt(request.holdLimitNanos());
    }
  }

  private boolean tryDisplace(QueuedRequest request, long nowNanos) {
    Optional<QueuedRequest> weaker = queue.weakerThan(request);
    if (weaker.isEmpty() || weaker.get().holdLimitNanos() - nowNanos < 0) {
      return false;
    }
    removeAndRefuse(weaker.get(), RefusalReason.DISPLACED, nowNanos);
    return !limits.isFull(request);
  }

  void onAnswering(WaitingRequest answering, long nowNanos) {
    QueuedRequest request = known.get(answering);
    if (request != null && request.state() == State.RUNNING && request.tryBeginAnswer()) {
      runTimes.onFirstAnswer(request.traits().route(), nowNanos - request.startedNanos());
    }
  }

  void onEnded(WaitingRequest ended, long nowNanos) {
    QueuedRequest request = known.remove(ended);
    if (request == null) {
      return;
    }
    State before = request.state();
    request.setState(State.ENDED);
    RequestTraits traits = request.traits();
    if (before == State.WAITING) {
      queue.remove(request);
      listener.onLeft(traits);
    } else {
      drain.onEnded(traits.route());
      if (request.isAnswering()) {
        runTimes.onEnded(traits.route(), nowNanos - request.startedNanos());
      }
      listener.onEnded(traits);
    }
    startWaiting(MAX_TRIES, nowNanos);
  }

  /** Returns whether requests have waited or were refused here or elsewhere of late. */
  boolean isContended(long nowNanos) {
    return everContended && nowNanos - contendedNanos <= CONTENTION_TIME.toNanos();
  }

  private void setContended(long nowNanos) {
    everContended = true;
    contendedNanos = nowNanos;
  }

  /** Returns the demand at this entry; requests wait only if servers had no room of late. */
  ServiceDemand demand(long nowNanos) {
    boolean lacksRoom = everFull && nowNanos - fullNanos <= FULL_TIME.toNanos();
    return new ServiceDemand(
        drain.running(), lacksRoom ? queue.size() : 0, demand.offered(nowNanos));
  }

  /** Takes the demand at all other entries into account; empty if none has reported of late. */
  void onPeerDemand(Optional<ServiceDemand> others, long nowNanos) {
    if (others.isEmpty() && !share.isLimited()) {
      return;
    }
    if (others.isPresent() && others.get().waiting() > 0) {
      setContended(nowNanos);
    }
    share.update(demand(nowNanos), others, nowNanos);
    double meanRunSeconds = demand.meanRunSeconds(nowNanos);
    drain.setShare(meanRunSeconds > 0 ? share.limit() / meanRunSeconds : Double.POSITIVE_INFINITY);
    startWaiting(MAX_TRIES, nowNanos);
    startBeyondShare(nowNanos);
  }

  /** Starts no waiting request any more, as this entry ends what is left. */
  void stop() {
    stopped = true;
  }

  void poll(long nowNanos) {
    if (nowNanos - forgottenNanos >= FORGET_PERIOD.toNanos()) {
      forgottenNanos = nowNanos;
      minimum.forgetIdle(nowNanos);
      demand.forgetIdle(nowNanos);
    }
    if (queue.isEmpty()) {
      return;
    }
    startWaiting(MAX_TRIES, nowNanos);
    for (QueuedRequest request : queue.all()) {
      if (request.state() == State.WAITING) {
        limits
            .refusalOfWaiting(request, nowNanos)
            .ifPresent(reason -> removeAndRefuse(request, reason, nowNanos));
      }
    }
    drain.setWaiting(!queue.isEmpty(), nowNanos);
  }

  /**
   * Starts requests that wait until none of the first ones finds room.
   *
   * @param maxTries how many of the first ones are tried
   */
  private void startWaiting(int maxTries, long nowNanos) {
    if (draining || stopped || queue.isEmpty()) {
      // If a request has ended while another one is being started, that loop continues.
      return;
    }
    draining = true;
    try {
      boolean started = true;
      while (started && !queue.isEmpty() && share.allows(drain.running())) {
        started = tryStartOne(maxTries, nowNanos);
      }
    } finally {
      draining = false;
    }
    drain.setWaiting(!queue.isEmpty(), nowNanos);
  }

  /** Starts some requests in room that other entries leave. */
  private void startBeyondShare(long nowNanos) {
    if (share.allows(drain.running())) {
      return;
    }
    int started = 0;
    while (started < share.extraStarts() && !queue.isEmpty() && tryStartOne(1, nowNanos)) {
      started++;
    }
    share.onExtraStarts(started);
  }

  private boolean tryStartOne(int maxTries, long nowNanos) {
    List<QueuedRequest> withoutRoom = new ArrayList<>();
    for (QueuedRequest request : firstInOrder(maxTries, nowNanos)) {
      if (tryStart(request, nowNanos)) {
        withoutRoom.forEach(QueuedRequest::onBypassed);
        return true;
      }
      if (request.blocksOthers(MAX_BYPASSES, nowNanos)) {
        return false;
      }
      withoutRoom.add(request);
    }
    return false;
  }

  /** Returns the requests that are to start first, one for each team at most. */
  private List<QueuedRequest> firstInOrder(int count, long nowNanos) {
    List<QueuedRequest> heads = queue.heads();
    List<QueuedRequest> first = new ArrayList<>(count);
    minimum.mostStarved(heads, nowNanos).ifPresent(first::add);
    for (QueuedRequest head : heads) {
      if (first.size() < count && !first.contains(head)) {
        first.add(head);
      }
    }
    return first;
  }

  /** Starts a request, or lets it end; returns false, and changes nothing, if it has no room. */
  private boolean tryStart(QueuedRequest request, long nowNanos) {
    if (!request.request().tryStart(nowNanos)) {
      everFull = true;
      fullNanos = nowNanos;
      setContended(nowNanos);
      return false;
    }
    if (request.state() == State.ENDED) {
      return true;
    }
    RequestTraits traits = request.traits();
    if (!request.isQueued() && !queue.isEmpty()) {
      queue.heads().get(0).onBypassed();
      queue.add(request);
    }
    if (request.isQueued()) {
      queue.start(request);
    }
    request.setState(State.RUNNING);
    request.setStartedNanos(nowNanos);
    drain.onStarted(traits.route(), nowNanos);
    minimum.onStarted(traits, nowNanos);
    listener.onStarted(traits, Duration.ofNanos(nowNanos - traits.arrivedNanos()));
    return true;
  }

  private void removeAndRefuse(QueuedRequest request, RefusalReason reason, long nowNanos) {
    queue.remove(request);
    refuse(request, reason, nowNanos);
  }

  /** Refuses a request that is not in the queue. */
  private void refuse(QueuedRequest request, RefusalReason reason, long nowNanos) {
    QueueState state = limits.state(request, nowNanos);
    Duration delay =
        retryAfter.delay(
            limits.excessWaitNanos(request, nowNanos),
            overload(nowNanos),
            request.traits().deadlineNanos() - nowNanos);
    known.remove(request.request());
    request.setState(State.ENDED);
    listener.onRefused(request.request(), reason, state, delay);
    request.request().refuse(Refusal.notRun(RefusalCode.OVERLOADED, reason.message(), delay));
  }

  private double overload(long nowNanos) {
    OptionalDouble perSecond = drain.perSecond(nowNanos);
    return perSecond.isPresent() ? demand.perSecond(nowNanos) / perSecond.getAsDouble() - 1 : 1;
  }
}
