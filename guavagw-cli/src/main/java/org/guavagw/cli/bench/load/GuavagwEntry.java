package org.guavagw.cli.bench.load;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.guavagw.internal.config.RevisionedConfig;
import org.guavagw.internal.limits.Admission;
import org.guavagw.internal.limits.AdmissionQueue;
import org.guavagw.internal.limits.AdmissionRefusal;
import org.guavagw.internal.limits.AdmissionRequest;
import org.guavagw.internal.limits.AdmissionSettings;
import org.guavagw.internal.limits.AttemptOutcome;
import org.guavagw.internal.limits.RetryBudget;
import org.guavagw.internal.placement.AdmissionQueues;
import org.guavagw.internal.placement.BackendIndex;
import org.guavagw.internal.placement.BackendViews;
import org.guavagw.internal.placement.CacheEvents;
import org.guavagw.internal.placement.LoadReport;
import org.guavagw.internal.placement.NoBackend;
import org.guavagw.internal.placement.Placement;
import org.guavagw.internal.placement.PlacementQuery;
import org.guavagw.internal.placement.SampledPlacement;

/** Entry that uses the production admission, placement and retry code. Not thread-safe. */
final class GuavagwEntry implements SimulatedEntry {
  private static final int MAX_ATTEMPTS = 4;
  private static final Duration RETRY_DELAY = Duration.ofSeconds(1);
  private static final long CONTROL_PERIOD_NANOS = Duration.ofMillis(200).toNanos();

  private final String dataCentre;
  private final EngineFleet fleet;
  private final VirtualTimeScheduler scheduler;
  private final BackendViews views;
  private final SampledPlacement policy;
  private final AdmissionQueues queues;
  private final RetryBudget retries = new RetryBudget();
  private BackendIndex index;

  GuavagwEntry(
      String dataCentre,
      EngineFleet fleet,
      VirtualTimeScheduler scheduler,
      RandomGenerator random,
      RevisionedConfig config,
      int entries) {
    this.dataCentre = dataCentre;
    this.fleet = fleet;
    this.scheduler = scheduler;
    this.views = new BackendViews(scheduler);
    this.policy = new SampledPlacement(views, () -> random);
    this.index = BackendIndex.of(config);
    views.onIndex(index);
    this.queues = new AdmissionQueues(views, () -> entries, AdmissionSettings.DEFAULT, scheduler);
  }

  /** Starts the periodic control task. */
  void start(long endNanos) {
    scheduler.every(CONTROL_PERIOD_NANOS, endNanos, this::control);
  }

  @Override
  public void submit(SimulatedRequest request, ResultHandler handler) {
    AdmissionRequest admissionRequest =
        new AdmissionRequest(
            request.team(), 1, request.requestClass(), request.deadlineNanos(), request.cost());
    AdmissionQueue queue = queues.queue(index, SimulatedTopology.TARGET);
    Either<AdmissionRefusal, Admission> offered = queue.offer(admissionRequest, scheduler.read());
    if (offered.isLeft()) {
      handler.refused(offered.getLeft().retryAfter());
      return;
    }
    Admission admission = offered.get();
    admission.whenDecided(
        () -> scheduler.after(0, () -> onDecided(request, handler, queue, admission)));
  }

  @Override
  public void adopt(RevisionedConfig config) {
    index = index.next(config, scheduler.read());
    views.onIndex(index);
    control();
  }

  @Override
  public void onLoadReport(String backendId, LoadReport report) {
    views.onLoadReport(backendId, report);
  }

  @Override
  public void onCacheEvents(String backendId, CacheEvents cacheEvents) {
    views.onCacheEvents(backendId, cacheEvents);
  }

  private void control() {
    queues.refresh(index);
  }

  private void onDecided(
      SimulatedRequest request, ResultHandler handler, AdmissionQueue queue, Admission admission) {
    if (admission.refusal().isPresent()) {
      handler.refused(admission.refusal().get().retryAfter());
      return;
    }
    retries.onFirstAttempt();
    send(new Attempt(request, handler, queue, admission));
  }

  private void send(Attempt attempt) {
    Either<NoBackend, Placement> choice = choose(attempt);
    if (choice.isLeft()) {
      refuse(attempt, choice.getLeft().retryAfter());
      return;
    }
    Placement placement = choice.get();
    String backendId = placement.server().id();
    attempt.onSent(backendId);
    views.onDispatched(backendId);
    fleet.send(dataCentre, backendId, attempt.request, o -> onOutcome(attempt, placement, o));
  }

  private Either<NoBackend, Placement> choose(Attempt attempt) {
    Either<NoBackend, Placement> choice = policy.choose(query(attempt));
    while (choice.isRight()
        && choice.get().needsPermit()
        && !fleet.tryPermit(choice.get().server().id())) {
      attempt.exclude(choice.get().server().id());
      choice = policy.choose(query(attempt));
    }
    return choice;
  }

  private PlacementQuery query(Attempt attempt) {
    return new PlacementQuery(
        index,
        SimulatedTopology.TARGET,
        dataCentre,
        OptionalLong.of(attempt.request.prefixHash()),
        attempt.request.requestClass(),
        attempt.excluded);
  }

  private void onOutcome(Attempt attempt, Placement placement, AttemptOutcome outcome) {
    String backendId = placement.server().id();
    views.onFinished(backendId, outcome);
    if (placement.needsPermit()) {
      fleet.releasePermit(backendId);
    }
    if (outcome.kind() == AttemptOutcome.Kind.COMPLETED) {
      SimulatedEngine engine = fleet.engine(backendId);
      views.onAnswerHeaders(backendId, engine.bootId(), engine.isCold(), engine.waiting());
      release(attempt);
      attempt.handler.answered();
      return;
    }
    if (outcome.kind() == AttemptOutcome.Kind.REFUSED) {
      queues.onRefused(SimulatedTopology.TARGET);
    }
    boolean inTime = scheduler.read() < attempt.request.deadlineNanos();
    if (inTime && attempt.sent < MAX_ATTEMPTS && retries.tryRetry()) {
      send(attempt);
      return;
    }
    refuse(attempt, RETRY_DELAY);
  }

  private void refuse(Attempt attempt, Duration retryAfter) {
    release(attempt);
    attempt.handler.refused(retryAfter);
  }

  private void release(Attempt attempt) {
    attempt.queue.release(attempt.admission, scheduler.read());
  }

  /** An admitted request and its excluded backend servers. Not thread-safe. */
  private static final class Attempt {
    private final SimulatedRequest request;
    private final ResultHandler handler;
    private final AdmissionQueue queue;
    private final Admission admission;
    private final Set<String> excluded = new HashSet<>();
    private int sent;

    Attempt(
        SimulatedRequest request,
        ResultHandler handler,
        AdmissionQueue queue,
        Admission admission) {
      this.queue = queue;
      this.request = request;
      this.handler = handler;
      this.admission = admission;
    }

    void onSent(String backendId) {
      sent++;
      excluded.add(backendId);
    }

    void exclude(String backendId) {
      excluded.add(backendId);
    }
  }
}
