package org.guavagw.cli.check;

import com.google.common.util.concurrent.Futures;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.guavagw.cli.local.CallerClient;
import org.guavagw.cli.local.CallerResult;
import org.guavagw.cli.local.ChatCall;
import org.guavagw.cli.local.DeploymentConfig;
import org.guavagw.cli.local.DeploymentPlan;
import org.guavagw.cli.local.LocalDeployment;
import org.guavagw.config.VersionRef;
import org.guavagw.standins.history.CallTag;
import org.guavagw.standins.history.Event;
import org.guavagw.standins.history.ExpectedAnswer;
import org.guavagw.standins.history.HistoryRecorder;
import org.guavagw.standins.history.ReportedRunState;

/**
 * Callers of a check run. Each caller sends one request after another and resends some of them to
 * other entries. Thread-safe.
 */
final class CheckTraffic implements AutoCloseable {
  private static final int MAX_ATTEMPTS = 3;
  private static final int SESSIONS = 12;
  private static final int SHORT_TOKENS = 8;
  private static final int LONG_TOKENS = 300;
  private static final long STOP_SECONDS = 90;

  private final RecordedDeployment deployment;
  private final HistoryRecorder recorder;
  private final DeploymentPlan plan;
  private final long seed;
  private final CallerClient client = new CallerClient();
  private final ExecutorService threads;
  private final ExecutorService duplicateRequests = Executors.newCachedThreadPool();
  private final List<Future<?>> running = new ArrayList<>();
  private final AtomicInteger lastCall = new AtomicInteger();
  private volatile boolean stopped;

  CheckTraffic(RecordedDeployment deployment, CheckSettings settings) {
    this.deployment = deployment;
    this.recorder = deployment.recorder();
    this.plan = settings.plan();
    this.seed = settings.seed();
    this.threads = Executors.newFixedThreadPool(settings.callers());
    for (int i = 0; i < settings.callers(); i++) {
      int caller = i;
      running.add(threads.submit(() -> sendUntilStopped(caller)));
    }
  }

  /** Stops sending, waits for in-flight requests and returns whether all of them ended. */
  boolean stop() throws InterruptedException {
    stopped = true;
    threads.shutdown();
    boolean ended = threads.awaitTermination(STOP_SECONDS, TimeUnit.SECONDS);
    running.forEach(Futures::getUnchecked);
    return ended;
  }

  @Override
  public void close() {
    stopped = true;
    threads.shutdownNow();
    duplicateRequests.shutdownNow();
    client.close();
  }

  private void sendUntilStopped(int caller) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 1_009 + caller);
    while (!stopped) {
      String callId = "c" + lastCall.incrementAndGet();
      String team = DeploymentConfig.teamName(random.nextInt(DeploymentConfig.teamCount()));
      if (random.nextInt(3) == 0) {
        post(callId, team, random);
      } else {
        chat(callId, team, random);
      }
    }
  }

  private void chat(String callId, String team, UniformRandomProvider random) {
    boolean isLong = random.nextInt(6) == 0;
    String session = random.nextBoolean() ? "s" + random.nextInt(SESSIONS) : "";
    String model = isLong ? plan.reportClass() : chooseModel(random);
    int tokens = isLong ? LONG_TOKENS : SHORT_TOKENS;
    String content = "about " + callId + ' ' + CallTag.of(callId);
    ChatCall call =
        new ChatCall(team, model, content, tokens, isLong || random.nextBoolean(), session);
    ExpectedAnswer expected = new ExpectedAnswer.Chat("user\n" + content + '\n', tokens);
    Optional<String> sessionOfTeam =
        session.isEmpty() ? Optional.empty() : Optional.of(team + '/' + session);
    for (int attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
      LocalDeployment.RunningMember entry = pick(random);
      recorder.record(
          new Event.CallerSent(
              callId, attempt, entry.vm().id(), team, sessionOfTeam, true, expected));
      CallerResult result = client.chat(entry.entry().callerPort(), call);
      record(callId, attempt, result);
      if (!result.reportsNotRun()) {
        return;
      }
    }
  }

  private String chooseModel(UniformRandomProvider random) {
    return random.nextBoolean() ? plan.lookupClass() : DeploymentConfig.SMALL;
  }

  private void post(String callId, String team, UniformRandomProvider random) {
    boolean twice = random.nextInt(8) == 0;
    LocalDeployment.RunningMember first = pick(random);
    LocalDeployment.RunningMember second = pick(random);
    if (twice) {
      Future<?> duplicate =
          duplicateRequests.submit(() -> postOnce(callId, MAX_ATTEMPTS + 1, team, second));
      postOnce(callId, 1, team, first);
      Futures.getUnchecked(duplicate);
      return;
    }
    CallerResult result = postOnce(callId, 1, team, first);
    for (int i = 2; i <= MAX_ATTEMPTS && result.kind() != CallerResult.Kind.ANSWERED; i++) {
      result = postOnce(callId, i, team, pick(random));
    }
  }

  private CallerResult postOnce(
      String callId, int attempt, String team, LocalDeployment.RunningMember entry) {
    recorder.record(
        new Event.CallerSent(
            callId,
            attempt,
            entry.vm().id(),
            team,
            Optional.empty(),
            false,
            new ExpectedAnswer.ServiceEcho(callId)));
    String body = "{\"content\":\"" + CallTag.of(callId) + "\"}";
    CallerResult result =
        client.post(
            entry.entry().callerPort(), team, plan.ledger(), plan.post(), "key-" + callId, body);
    record(callId, attempt, result);
    return result;
  }

  private void record(String callId, int attempt, CallerResult result) {
    switch (result.kind()) {
      case ANSWERED, WRONG ->
          recorder.record(
              new Event.CallerAnswered(
                  callId, attempt, result.requestId(), versionOf(result), result.text()));
      case REFUSED ->
          recorder.record(
              new Event.CallerRefused(
                  callId,
                  attempt,
                  Optional.of(result.requestId()),
                  ReportedRunState.parse(result.runState()),
                  result.code()));
      default -> recorder.record(new Event.CallerCut(callId, attempt));
    }
  }

  private static Optional<VersionRef> versionOf(CallerResult result) {
    return result.version().isEmpty()
        ? Optional.empty()
        : Optional.of(VersionRef.parse(result.version()));
  }

  private LocalDeployment.RunningMember pick(UniformRandomProvider random) {
    List<LocalDeployment.RunningMember> ready = deployment.ready();
    List<LocalDeployment.RunningMember> from =
        ready.isEmpty() ? deployment.local().entries() : ready;
    return from.get(random.nextInt(from.size()));
  }
}
