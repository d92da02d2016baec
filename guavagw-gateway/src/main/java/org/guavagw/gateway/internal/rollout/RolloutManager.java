package org.guavagw.gateway.internal.rollout;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.guavagw.gateway.internal.control.ControlView;
import org.guavagw.gateway.internal.control.CurrentControlView;
import org.guavagw.gateway.internal.control.Orders.ObservedRollout;
import org.guavagw.gateway.internal.logging.EventLog;
import org.guavagw.gateway.internal.peers.EvidenceReport;
import org.guavagw.gateway.internal.peers.Members;
import org.guavagw.gateway.internal.peers.PeerMessenger;
import org.guavagw.gateway.internal.peers.RolloutRejection;
import org.guavagw.gateway.internal.scheduling.PeriodicTasks;
import org.guavagw.gateway.model.RolloutOrder;
import org.guavagw.gateway.model.RolloutState;
import org.guavagw.gateway.model.RolloutStatus;
import org.guavagw.gateway.spi.ControlFormat;
import org.guavagw.gateway.spi.ControlStore;
import org.guavagw.gateway.spi.RowVersion;
import org.guavagw.internal.peer.PeerIdentity;

/**
 * Starts, evaluates and ends rollouts.
 *
 * <p>Every entry may write the state of a rollout; a conditional write lets one of them win, and a
 * state other than RUNNING never changes. Evidence and decisions are confined to the traffic
 * thread; writes go through the control thread.
 */
@SuppressWarnings("FutureReturnValueIgnored")
public final class RolloutManager implements RolloutProgress {
  /**
   * How often rollouts are reviewed; short compared with the time limit for rolling back a bad
   * version.
   */
  private static final Duration REVIEW_PERIOD = Duration.ofMillis(250);

  /** How often evidence is sent to the evaluators while the new version gives no bad answers. */
  private static final Duration EVIDENCE_PERIOD = Duration.ofSeconds(2);

  /** Pause before a failed write is retried. */
  private static final Duration WRITE_RETRY_PAUSE = Duration.ofMillis(500);

  private final CurrentControlView currentView;
  private final ControlStore store;
  private final ControlFormat format;
  private final ScheduledExecutorService traffic;
  private final ScheduledExecutorService control;
  private final PeerMessenger peers;
  private final Supplier<Members> members;
  private final EventLog log;
  private final Map<String, ActiveRollout> activeRollouts = new HashMap<>();

  /** Creates a manager that is idle until {@link #start}. */
  public RolloutManager(
      CurrentControlView currentView,
      ControlStore store,
      ControlFormat format,
      ScheduledExecutorService traffic,
      ScheduledExecutorService control,
      PeerMessenger peers,
      Supplier<Members> members,
      EventLog log) {
    this.currentView = currentView;
    this.store = store;
    this.format = format;
    this.traffic = traffic;
    this.control = control;
    this.peers = peers;
    this.members = members;
    this.log = log;
  }

  /** Starts reviewing rollouts. */
  public void start() {
    peers.onMessage(EvidenceReport.class, this::onEvidence);
    peers.onMessage(RolloutRejection.class, this::onRejection);
    new PeriodicTasks(traffic, log).runEvery(REVIEW_PERIOD, this::review);
  }

  @Override
  public Duration elapsed(ObservedRollout rollout, Optional<RolloutStatus> status) {
    return status
        .map(s -> Duration.ofMillis(Math.max(0, currentView.storeMillis() - s.startedMillis())))
        .orElse(Duration.ZERO);
  }

  @Override
  public Optional<RolloutStatus> statusOf(RolloutOrder order, Optional<RolloutStatus> status) {
    return status.filter(s -> s.belongsTo(order, currentView.storeMillis()));
  }

  @Override
  public boolean isRejected(RolloutOrder order) {
    ActiveRollout rollout = activeRollouts.get(order.service());
    return rollout != null && rollout.revision == order.revision() && rollout.rejected;
  }

  /** Records a successful answer of a backend server. */
  public void onSuccess(String service, String version, String route) {
    activeRollout(service)
        .ifPresent(r -> r.evidence.onSuccess(route, version.equals(r.order.toVersion())));
  }

  /** Records the time until an answer began, or until {@link #isVerySlow} was found. */
  public void onTiming(String service, String version, String route, WorkKind kind, double millis) {
    activeRollout(service)
        .ifPresent(
            r -> r.evidence.onTiming(route, kind, millis, version.equals(r.order.toVersion())));
  }

  /** Records the mean time between the first events of an answer. */
  public void onPace(String service, String version, String route, WorkKind kind, double millis) {
    activeRollout(service)
        .ifPresent(
            r -> r.evidence.onPace(route, kind, millis, version.equals(r.order.toVersion())));
  }

  /** Returns whether an answer that has not begun after this time is very slow for a rollout. */
  public boolean isVerySlow(String service, WorkKind kind, double millis) {
    return activeRollout(service).filter(r -> r.evidence.isVerySlow(kind, millis)).isPresent();
  }

  /** Records a failure of a backend server. */
  public void onFailure(String service, String version, String route) {
    activeRollout(service)
        .ifPresent(
            r -> {
              boolean onNew = version.equals(r.order.toVersion());
              r.evidence.onFailure(route, onNew);
              if (onNew) {
                evaluate(r);
              }
            });
  }

  private Optional<ActiveRollout> activeRollout(String service) {
    return Optional.ofNullable(activeRollouts.get(service));
  }

  private void review() {
    ControlView view = currentView.get();
    activeRollouts.keySet().retainAll(view.orders().rollouts().keySet());
    for (ObservedRollout observed : view.orders().rollouts().values()) {
      review(view, observed);
    }
  }

  private void review(ControlView view, ObservedRollout observed) {
    RolloutOrder order = observed.order();
    Optional<RolloutStatus> stored =
        Optional.ofNullable(view.orders().statuses().get(order.service()));
    Optional<RolloutStatus> current = statusOf(order, stored);
    boolean ended = current.isPresent() && current.get().state() != RolloutState.RUNNING;
    if (ended && current.get().stored()) {
      activeRollouts.remove(order.service());
      return;
    }
    ActiveRollout rollout = activate(order, current.isPresent());
    if (ended) {
      writeState(rollout, stored, current.get().state(), current.get().startedMillis());
      return;
    }
    if (current.isEmpty()) {
      writeState(rollout, stored, RolloutState.RUNNING, currentView.storeMillis());
      return;
    }
    sendEvidence(rollout);
    evaluate(rollout);
    long started = current.get().startedMillis();
    if (rollout.rejected) {
      writeState(rollout, stored, RolloutState.ROLLED_BACK, started);
    } else if (RolloutSchedule.mayComplete(elapsed(observed, current), order.within())) {
      writeState(rollout, stored, RolloutState.DONE, started);
    } else if (!current.get().stored()) {
      writeState(rollout, stored, RolloutState.RUNNING, started);
    }
  }

  /** Returns the rollout of an order, which continues if the order was only written again. */
  private ActiveRollout activate(RolloutOrder order, boolean begun) {
    ActiveRollout known = activeRollouts.get(order.service());
    boolean same =
        known != null
            && (known.revision == order.revision() || (begun && known.order.hasSameContent(order)));
    ActiveRollout rollout = same ? known : new ActiveRollout(order);
    rollout.order = order;
    rollout.revision = order.revision();
    activeRollouts.put(order.service(), rollout);
    return rollout;
  }

  private void sendEvidence(ActiveRollout rollout) {
    long now = currentView.storeMillis();
    boolean due = now - rollout.lastSentMillis >= EVIDENCE_PERIOD.toMillis();
    if (rollout.evidence.getAndClearBadAnswerSeen()
        || (due && rollout.evidence.getAndClearChanged())) {
      rollout.lastSentMillis = now;
      peers.sendToEvaluators(
          new EvidenceReport(rollout.order.service(), rollout.revision, rollout.evidence.local()));
    }
  }

  private void onEvidence(PeerIdentity from, EvidenceReport report) {
    activeRollout(report.service())
        .filter(r -> r.revision == report.revision())
        .ifPresent(
            r -> {
              r.evidence.onReport(from.memberId(), report.routes());
              evaluate(r);
            });
  }

  private void onRejection(PeerIdentity from, RolloutRejection rejection) {
    activeRollout(rejection.service())
        .filter(r -> r.revision == rejection.revision() && !r.rejected)
        .ifPresent(
            r -> {
              r.rejected = true;
              log.event("rollout_rejected")
                  .with("service", rejection.service())
                  .with("to", r.order.toVersion())
                  .with("by", from.memberId())
                  .write();
            });
  }

  private void evaluate(ActiveRollout rollout) {
    if (rollout.rejected || !rollout.evidence.isNewVersionWorse()) {
      return;
    }
    rollout.rejected = true;
    peers.sendToAll(new RolloutRejection(rollout.order.service(), rollout.revision));
    log.event("rollout_rejected")
        .with("service", rollout.order.service())
        .with("to", rollout.order.toVersion())
        .with("answers", rollout.evidence.total().newVersion().all())
        .with("failed", rollout.evidence.total().newVersion().failed())
        .with("timed", rollout.evidence.total().newVersion().timed())
        .with("slow", rollout.evidence.total().newVersion().slow())
        .with("very_slow", rollout.evidence.total().newVersion().verySlow())
        .with("paced", rollout.evidence.total().newVersion().paced())
        .with("slowly_paced", rollout.evidence.total().newVersion().slowlyPaced())
        .write();
  }

  private void writeState(
      ActiveRollout rollout,
      Optional<RolloutStatus> stored,
      RolloutState state,
      long startedMillis) {
    if (rollout.writing || !rollout.isDue(state, members.get().coordinatorRank())) {
      return;
    }
    rollout.writing = true;
    RolloutOrder order = rollout.order;
    byte[] value = format.rolloutStatus(order.service(), order.toVersion(), state, startedMillis);
    RowVersion expected =
        new RowVersion(
            format.statusTable(),
            format.rolloutStatusKey(order.service()),
            stored.map(RolloutStatus::revision).orElse(0L));
    // Keeps a late write from a status row that has the same version again in a restored store.
    RowVersion unchanged =
        new RowVersion(
            format.ordersTable(), format.rolloutOrderKey(order.service()), order.revision());
    control.execute(
        () ->
            store
                .putIf(expected, value, List.of(unchanged))
                .whenComplete((era, failure) -> onWritten(rollout, state, failure)));
  }

  private void onWritten(ActiveRollout rollout, RolloutState state, Throwable failure) {
    log.event("rollout_reported")
        .with("service", rollout.order.service())
        .with("to", rollout.order.toVersion())
        .with("state", state.name())
        .with("outcome", failure == null ? "written" : String.valueOf(failure.getMessage()))
        .write();
    traffic.schedule(
        () -> {
          rollout.writing = false;
        },
        WRITE_RETRY_PAUSE.toMillis(),
        TimeUnit.MILLISECONDS);
  }

  /** A running rollout. Confined to the traffic thread. */
  private static final class ActiveRollout {
    private RolloutOrder order;
    private long revision;
    private final VersionEvidence evidence = new VersionEvidence();
    private boolean rejected;
    private boolean writing;
    private long lastSentMillis;
    private RolloutState pendingState;
    private int reviews;

    /**
     * Returns whether this entry is to write a state now: one entry after the other does, each a
     * review later, as only one write can win and each costs a call.
     */
    boolean isDue(RolloutState state, int rank) {
      if (state != pendingState) {
        pendingState = state;
        reviews = 0;
      }
      return reviews++ >= rank;
    }

    ActiveRollout(RolloutOrder order) {
      this.order = order;
      this.revision = order.revision();
    }
  }
}
