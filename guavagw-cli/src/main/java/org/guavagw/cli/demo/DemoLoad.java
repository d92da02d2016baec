package org.guavagw.cli.demo;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntConsumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.guavagw.cli.local.CallerClient;
import org.guavagw.cli.local.CallerResult;
import org.guavagw.cli.local.ChatCall;
import org.guavagw.cli.local.DeploymentConfig;
import org.guavagw.cli.local.DeploymentPlan;
import org.guavagw.cli.local.LocalDeployment;

/** Sends a bounded, seeded mix of requests to a deployment. Used once. */
final class DemoLoad {
  private static final int PROGRESS_STEPS = 4;
  private static final int LOOKUP_TOKENS = 12;
  private static final int REPORT_TOKENS = 300;
  private static final int SESSIONS = 40;
  private static final double LOOKUP_SHARE = 0.6;
  private static final double POST_SHARE = 0.2;
  private static final long TIMEOUT_MINUTES = 10;

  private final LocalDeployment local;
  private final DeploymentPlan plan;
  private final long seed;
  private final int requests;
  private final int callers;
  private final DemoResultCollector results = new DemoResultCollector();
  private final AtomicInteger done = new AtomicInteger();

  DemoLoad(LocalDeployment local, long seed, int requests, int callers) {
    this.local = local;
    this.plan = local.plan();
    this.seed = seed;
    this.requests = requests;
    this.callers = callers;
  }

  DemoResultCollector run(IntConsumer progress) throws InterruptedException {
    ExecutorService threads = Executors.newFixedThreadPool(callers);
    try (CallerClient client = new CallerClient()) {
      List<Future<?>> sent = new ArrayList<>();
      for (int i = 0; i < requests; i++) {
        int number = i;
        sent.add(threads.submit(() -> sendOne(client, number, progress)));
      }
      threads.shutdown();
      threads.awaitTermination(TIMEOUT_MINUTES, TimeUnit.MINUTES);
      checkAll(sent);
    } finally {
      threads.shutdownNow();
    }
    return results;
  }

  private static void checkAll(List<Future<?>> sent) throws InterruptedException {
    for (Future<?> one : sent) {
      try {
        one.get();
      } catch (ExecutionException e) {
        throw new IllegalStateException(e.getCause());
      }
    }
  }

  private void sendOne(CallerClient client, int number, IntConsumer progress) {
    UniformRandomProvider random =
        RandomSource.XO_RO_SHI_RO_128_PP.create(seed * 1_000_003 + number);
    List<LocalDeployment.RunningMember> entries = local.entries();
    int port = entries.get(random.nextInt(entries.size())).entry().callerPort();
    String team = DeploymentConfig.teamName(random.nextInt(DeploymentConfig.teamCount()));
    double kind = random.nextDouble();
    if (kind < POST_SHARE) {
      String key = "post-" + number;
      CallerResult result =
          client.post(port, team, plan.ledger(), plan.post(), key, "{\"number\":" + number + "}");
      results.add(team, result);
    } else {
      ChatCall call = chatCall(team, number, kind < POST_SHARE + LOOKUP_SHARE, random);
      results.add(team, client.chat(port, call));
    }
    int count = done.incrementAndGet();
    if (count % Math.max(1, requests / PROGRESS_STEPS) == 0) {
      progress.accept(count);
    }
  }

  private ChatCall chatCall(String team, int number, boolean lookup, UniformRandomProvider random) {
    String session = random.nextBoolean() ? team + "-session-" + random.nextInt(SESSIONS) : "";
    if (lookup) {
      return new ChatCall(
          team, plan.lookupClass(), "question " + number, LOOKUP_TOKENS, false, session);
    }
    return new ChatCall(
        team, plan.reportClass(), "report on case " + number, REPORT_TOKENS, true, session);
  }
}
