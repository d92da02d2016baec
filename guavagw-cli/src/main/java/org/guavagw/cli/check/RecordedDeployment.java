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
 * A local deployment that records its events in a history.
 *
 * <p>Invariant: a revision is recorded as accepted before it is recorded as in force anywhere.
 * Thread-safe.
 */
final class RecordedDeployment implements AutoCloseable {
  private static final long RETRY_INTERVAL_MS = 100;
  private static final int MAX_APPLY_ATTEMPTS = 100;

  private final LocalDeployment local;
  private final HistoryRecorder recorder = new HistoryRecorder(Ticker.systemTicker());
  private final Map<String, Long> inForce = new HashMap<>();
  private final Set<String> startedEntries = new HashSet<>();
  private long acceptedRevision;
  private int changes;
  private int entries;

  RecordedDeployment(CheckSettings settings) {
    this.local =
        new LocalDeployment(
            settings.plan(),
            LocalOptions.standard(settings.seed()).withColdStart().withHooks(settings.hooks()));
    ExecutionRecorder executionRecorder =
        new ExecutionRecorder(recorder, local.dataCentreOfServers());
    executionRecorder.follow(local.executions());
    executionRecorder.follow(local.calls());
    recordChanges();
  }

  LocalDeployment local() {
    return local;
  }

  HistoryRecorder recorder() {
    return recorder;
  }

  /** Returns the entries to which the load balancer sends requests. */
  List<LocalDeployment.RunningMember> ready() {
    return local.entries().stream().filter(m -> m.entry().isReady()).toList();
  }

  /** Records the changes of the entries since the last call. */
  synchronized void recordChanges() {
    for (LocalDeployment.RunningMember member : local.entries()) {
      long revision = member.entry().revision();
      String id = member.vm().id();
      if (revision > inForce.getOrDefault(id, 0L)) {
        recordAccepted(revision);
        inForce.put(id, revision);
        recorder.record(new Event.ConfigInForce(id, revision));
      }
      if (member.entry().isReady() && startedEntries.add(id)) {
        recorder.record(new Event.EntryStarted(id));
      }
    }
  }

  /** Retries an edit of the newest configuration until it is accepted, then records the events. */
  synchronized boolean apply(UnaryOperator<GatewayConfig> edit, Event... events)
      throws InterruptedException {
    String changeId = "change-" + ++changes;
    for (int i = 0; i < MAX_APPLY_ATTEMPTS; i++) {
      Either<ConfigFailure, RevisionedConfig> latest = local.history().latest();
      Either<ConfigFailure, RevisionedConfig> applied =
          latest.flatMap(
              newest ->
                  local
                      .history()
                      .apply(
                          new ConfigChange(
                              changeId,
                              "check",
                              "",
                              newest.revision(),
                              edit.apply(newest.config()))));
      if (applied.isRight()) {
        recordAccepted(applied.get().revision());
        List.of(events).forEach(recorder::record);
        return true;
      }
      TimeUnit.MILLISECONDS.sleep(RETRY_INTERVAL_MS);
    }
    return false;
  }

  /** Stops an entry without draining and starts a replacement. */
  void killAndReplace(LocalDeployment.RunningMember member) {
    local.removeEntry(member);
    recorder.record(new Event.EntryStopped(member.vm().id()));
    member.entry().close();
    replace(member);
  }

  /** Starts a replacement of an entry, then shuts the entry down gracefully. */
  void replaceGracefully(LocalDeployment.RunningMember member) throws InterruptedException {
    LocalDeployment.RunningMember fresh = replace(member);
    long deadline = System.nanoTime() + Duration.ofSeconds(10).toNanos();
    while (!fresh.entry().isReady() && System.nanoTime() < deadline) {
      TimeUnit.MILLISECONDS.sleep(20);
    }
    recorder.record(new Event.EntryStopping(member.vm().id()));
    local.removeEntry(member);
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
        allowedOf(
            local.history().latest().map(RevisionedConfig::config).getOrElse(newestAdopted()));
    while (acceptedRevision < revision) {
      acceptedRevision++;
      recorder.record(new Event.ConfigAccepted(acceptedRevision, allowed));
    }
  }

  private GatewayConfig newestAdopted() {
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
