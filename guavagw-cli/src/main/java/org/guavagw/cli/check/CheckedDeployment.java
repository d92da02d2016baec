package org.guavagw.cli.check;

import com.google.common.base.Ticker;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.guavagw.cli.local.LocalDeployment;
import org.guavagw.cli.local.LocalOptions;
import org.guavagw.config.GatewayConfig;
import org.guavagw.config.ModelConfig;
import org.guavagw.config.TeamConfig;
import org.guavagw.config.VersionConfig;
import org.guavagw.config.VersionRef;
import org.guavagw.internal.config.ConfigChange;
import org.guavagw.internal.config.ConfigFailure;
import org.guavagw.internal.config.RevisionedConfig;
import org.guavagw.standins.history.Event;
import org.guavagw.standins.history.ExecutionRecorder;
import org.guavagw.standins.history.HistoryRecorder;

/**
 * A deployment whose events are recorded.
 *
 * <p>Invariant: a revision is recorded as accepted before it is recorded as in force anywhere.
 * Thread-safe.
 */
final class CheckedDeployment implements AutoCloseable {
  private static final long RETRY_MS = 100;
  private static final int MAX_APPLY_TRIES = 100;

  private final LocalDeployment local;
  private final HistoryRecorder recorder = new HistoryRecorder(Ticker.systemTicker());
  private final Map<String, Long> inForce = new HashMap<>();
  private final Set<String> started = new HashSet<>();
  private long acceptedRevision;
  private int changes;
  private int entries;

  CheckedDeployment(CheckSettings settings) {
    this.local =
        new LocalDeployment(
            settings.plan(),
            LocalOptions.standard(settings.seed()).withColdStart().withHooks(settings.hooks()));
    ExecutionRecorder executionRecorder =
        new ExecutionRecorder(recorder, local.dataCentreOfServers());
    executionRecorder.follow(local.executions());
    executionRecorder.follow(local.calls());
    watch();
  }

  LocalDeployment local() {
    return local;
  }

  HistoryRecorder recorder() {
    return recorder;
  }

  /** Entries that the balancer sends to. */
  List<LocalDeployment.RunningMember> ready() {
    return local.entries().stream().filter(m -> m.entry().isReady()).toList();
  }

  /** Records what changed at the entries since the last look. */
  synchronized void watch() {
    for (LocalDeployment.RunningMember member : local.entries()) {
      long revision = member.entry().revision();
      String id = member.vm().id();
      if (revision > inForce.getOrDefault(id, 0L)) {
        recordAccepted(revision);
        inForce.put(id, revision);
        recorder.record(new Event.ConfigInForce(id, revision));
      }
      if (member.entry().isReady() && started.add(id)) {
        recorder.record(new Event.EntryStarted(id));
      }
    }
  }

  /** Applies an edit to the newest configuration until it is accepted, then records an event. */
  synchronized boolean apply(UnaryOperator<GatewayConfig> edit, Event... events)
      throws InterruptedException {
    String changeId = "change-" + ++changes;
    for (int i = 0; i < MAX_APPLY_TRIES; i++) {
      Either<ConfigFailure, RevisionedConfig> latest = local.history().latest();
      Either<ConfigFailure, RevisionedConfig> applied =
          latest.flatMap(
              l ->
                  local
                      .history()
                      .apply(
                          new ConfigChange(
                              changeId, "check", "", l.revision(), edit.apply(l.config()))));
      if (applied.isRight()) {
        recordAccepted(applied.get().revision());
        List.of(events).forEach(recorder::record);
        return true;
      }
      TimeUnit.MILLISECONDS.sleep(RETRY_MS);
    }
    return false;
  }

  /** Kills an entry and starts another one in its place. */
  void killAndReplace(LocalDeployment.RunningMember member) {
    local.forget(member);
    recorder.record(new Event.EntryStopped(member.vm().id()));
    member.entry().close();
    replace(member);
  }

  /** Shuts an entry down gracefully after another one has started in its place. */
  void replaceGracefully(LocalDeployment.RunningMember member) throws InterruptedException {
    LocalDeployment.RunningMember fresh = replace(member);
    long deadline = System.nanoTime() + Duration.ofSeconds(10).toNanos();
    while (!fresh.entry().isReady() && System.nanoTime() < deadline) {
      TimeUnit.MILLISECONDS.sleep(20);
    }
    recorder.record(new Event.EntryStopping(member.vm().id()));
    local.forget(member);
    member.entry().shutDown();
    recorder.record(new Event.EntryStopped(member.vm().id()));
  }

  @Override
  public void close() {
    local.close();
  }

  private synchronized LocalDeployment.RunningMember replace(LocalDeployment.RunningMember member) {
    return local.startEntry(
        "entry-new-" + ++entries + '-' + member.vm().dataCentre(), member.vm().dataCentre());
  }

  private void recordAccepted(long revision) {
    if (revision <= acceptedRevision) {
      return;
    }
    Map<String, Set<VersionRef>> allowed =
        allowedOf(local.history().latest().map(RevisionedConfig::config).getOrElse(lastKnown()));
    while (acceptedRevision < revision) {
      acceptedRevision++;
      recorder.record(new Event.ConfigAccepted(acceptedRevision, allowed));
    }
  }

  private GatewayConfig lastKnown() {
    return local.entries().stream()
        .map(m -> m.entry().configuration())
        .max((a, b) -> Long.compare(a.revision(), b.revision()))
        .map(RevisionedConfig::config)
        .orElse(GatewayConfig.empty());
  }

  private static Map<String, Set<VersionRef>> allowedOf(GatewayConfig config) {
    Map<String, Set<VersionRef>> allowed = new HashMap<>();
    List<VersionRef> all = new ArrayList<>();
    for (ModelConfig model : config.models()) {
      for (VersionConfig version : model.versions()) {
        all.add(new VersionRef(model.id(), version.id()));
      }
    }
    for (TeamConfig team : config.teams()) {
      allowed.put(team.id(), new HashSet<>(all.stream().filter(v -> team.allows(v)).toList()));
    }
    return allowed;
  }
}
