package org.guavagw.gateway.internal.rollout;

import java.time.Duration;
import java.util.HashMap;
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
import org.guavagw.gateway.model.RolloutOrder;
import org.guavagw.gateway.model.RolloutState;
import org.guavagw.gateway.model.RolloutStatus;
import org.guavagw.gateway.spi.ControlFormat;
import org.guavagw.gateway.spi.ControlStore;
import org.guavagw.internal.peer.PeerIdentity;

/**
 * Begins, evaluators and ends rollouts.
 *
 * <p>Every entry may report a state; a conditional write lets one report win, and a state other
 * than RUNNING is never changed. Evidence and decisions are confined to the traffic thread; writes
 * go through the control thread.
 */
@SuppressWarnings("FutureReturnValueIgnored")
public final class RolloutManager implements RolloutProgress {
  /** How often rollouts are looked at: a small part of the time to take a bad version back. */
  private static final Duration PERIOD = Duration.ofMillis(250);

  /** How often entries tell the evaluators what they saw where nothing went badly. */
  private static final Duration REPORT_PERIOD = Duration.ofSeconds(2);

  /** Wait before a write that failed is tried again. */
  private static final Duration WRITE_PAUSE = Duration.ofMillis(500);

  private final CurrentControlView currentView;
  private final ControlStore store;
  private final ControlFormat format;
  private final ScheduledExecutorService traffic;
  private final ScheduledExecutorService control;
  private final PeerMessenger peers;
  private final Supplier<Members> members;
  private final EventLog log;
  private final Map<String, Trial> trials = new HashMap<>();

  /** A director that looks at rollouts from {@link #start} on. */
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

  /** Begins to look at rollouts. */
  public void start() {
    long period = PERIOD.toMillis();
    peers.onMessage(EvidenceReport.class, this::onReport);
    peers.onMessage(RolloutRejection.class, this::onRejection);
    traffic.scheduleAtFixedRate(this::review, period, period, TimeUnit.MILLISECONDS);
  }

  @Override
  public Duration elapsed(ObservedRollout rollout, Optional<RolloutStatus> status) {
    return status
        .map(s -> Duration.ofMillis(Math.max(0, currentView.storeMillis() - s.startedMillis())))
        .orElse(Duration.ZERO);
  }

  @Override
  public boolean isRejected(RolloutOrder order) {
    Trial trial = trials.get(order.service());
    return trial != null && trial.revision == order.revision() && trial.rejected;
  }

  /** Takes a success into account. */
  public void onSuccess(String service, String version, String route, String work, double millis) {
    underWay(service)
        .ifPresent(
            t -> t.evidence.onSuccess(route, work, millis, version.equals(t.order.toVersion())));
  }

  /** Takes a failure of a backend server into account. */
  public void onFailure(String service, String version, String route) {
    underWay(service)
        .ifPresent(
            t -> {
              boolean onNew = version.equals(t.order.toVersion());
              t.evidence.onFailure(route, onNew);
              if (onNew) {
                judge(t);
              }
            });
  }

  private Optional<Trial> underWay(String service) {
    return Optional.ofNullable(trials.get(service));
  }

  private void review() {
    ControlView view = currentView.get();
    trials.keySet().retainAll(view.orders().rollouts().keySet());
    for (ObservedRollout observed : view.orders().rollouts().values()) {
      review(view, observed);
    }
  }

  private void review(ControlView view, ObservedRollout observed) {
    RolloutOrder order = observed.order();
    Optional<RolloutStatus> row =
        Optional.ofNullable(view.orders().statuses().get(order.service()));
    Optional<RolloutStatus> answer = row.filter(s -> s.belongsTo(order));
    if (answer.isPresent() && answer.get().state() != RolloutState.RUNNING) {
      trials.remove(order.service());
      return;
    }
    Trial trial = trials.get(order.service());
    if (trial == null || trial.revision != order.revision()) {
      trial = new Trial(order);
      trials.put(order.service(), trial);
    }
    if (answer.isEmpty()) {
      report(trial, row, RolloutState.RUNNING, currentView.storeMillis());
      return;
    }
    tellJudges(trial);
    judge(trial);
    long started = answer.get().startedMillis();
    if (trial.rejected) {
      report(trial, row, RolloutState.ROLLED_BACK, started);
    } else if (RolloutSchedule.mayComplete(elapsed(observed, answer), order.within())) {
      report(trial, row, RolloutState.DONE, started);
    }
  }

  private void tellJudges(Trial trial) {
    long now = currentView.storeMillis();
    boolean due = now - trial.toldMillis >= REPORT_PERIOD.toMillis();
    if (trial.evidence.takeWorse() || (due && trial.evidence.takeChanged())) {
      trial.toldMillis = now;
      peers.sendToEvaluators(
          new EvidenceReport(trial.order.service(), trial.revision, trial.evidence.own()));
    }
  }

  private void onReport(PeerIdentity from, EvidenceReport report) {
    underWay(report.service())
        .filter(t -> t.revision == report.revision())
        .ifPresent(
            t -> {
              t.evidence.onReport(from.memberId(), report.routes());
              judge(t);
            });
  }

  private void onRejection(PeerIdentity from, RolloutRejection rejection) {
    underWay(rejection.service())
        .filter(t -> t.revision == rejection.revision() && !t.rejected)
        .ifPresent(
            t -> {
              t.rejected = true;
              log.event("rollout_rejected")
                  .with("service", rejection.service())
                  .with("to", t.order.toVersion())
                  .with("by", from.memberId())
                  .write();
            });
  }

  private void judge(Trial trial) {
    if (trial.rejected || !trial.evidence.alarming()) {
      return;
    }
    trial.rejected = true;
    peers.sendToAll(new RolloutRejection(trial.order.service(), trial.revision));
    log.event("rollout_rejected")
        .with("service", trial.order.service())
        .with("to", trial.order.toVersion())
        .with("answers", trial.evidence.total().newAnswers())
        .with("failed", trial.evidence.total().newFailed())
        .with("slow", trial.evidence.total().newSlow())
        .write();
  }

  private void report(
      Trial trial, Optional<RolloutStatus> row, RolloutState state, long startedMillis) {
    if (trial.writing || !trial.isItsTurn(state, members.get().coordinatorRank())) {
      return;
    }
    trial.writing = true;
    RolloutOrder order = trial.order;
    byte[] value = format.rolloutStatus(order.service(), order.toVersion(), state, startedMillis);
    long expected = row.map(RolloutStatus::revision).orElse(0L);
    String key = format.rolloutStatusKey(order.service());
    control.execute(
        () ->
            store
                .putIf(format.statusTable(), key, value, expected)
                .whenComplete((revision, failure) -> written(trial, state, failure)));
  }

  private void written(Trial trial, RolloutState state, Throwable failure) {
    log.event("rollout_reported")
        .with("service", trial.order.service())
        .with("to", trial.order.toVersion())
        .with("state", state.name())
        .with("outcome", failure == null ? "written" : String.valueOf(failure.getMessage()))
        .write();
    traffic.schedule(
        () -> {
          trial.writing = false;
        },
        WRITE_PAUSE.toMillis(),
        TimeUnit.MILLISECONDS);
  }

  /** A rollout under way. Confined to the traffic thread. */
  private static final class Trial {
    private final RolloutOrder order;
    private final long revision;
    private final VersionEvidence evidence = new VersionEvidence();
    private boolean rejected;
    private boolean writing;
    private long toldMillis;
    private RolloutState wanted;
    private int looks;

    /**
     * Lets one entry after the other report a state, each a look later, as only one report can win
     * and each costs a call.
     */
    boolean isItsTurn(RolloutState state, int turn) {
      if (state != wanted) {
        wanted = state;
        looks = 0;
      }
      return looks++ >= turn;
    }

    Trial(RolloutOrder order) {
      this.order = order;
      this.revision = order.revision();
    }
  }
}
