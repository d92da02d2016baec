package org.guavagw.cli.bench.policy;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Generates the requests of a time span, deterministically for a seed. Stateless. */
final class RequestStream {
  private static final double SECONDS_PER_DAY = 86_400;
  private static final double DAILY_AMPLITUDE = 0.5;
  private static final int USERS_PER_TEAM = 200;
  private static final double SESSION_SECONDS = 600;
  private static final double LARGE_TEAM_SHARE = 0.6;
  private static final int LARGE_TEAMS = 3;
  private static final double LENGTH_SPREAD = 0.4;

  private RequestStream() {}

  static List<BenchRequest> generate(WorkloadProfile workload, double seconds, long seed) {
    UniformRandomProvider rng = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    List<BenchRequest> requests = new ArrayList<>();
    double at = 0;
    long id = 0;
    while (true) {
      double dailyFactor = 1 + DAILY_AMPLITUDE * Math.sin(2 * Math.PI * at / SECONDS_PER_DAY);
      at += -Math.log(1 - rng.nextDouble()) / (workload.requestsPerSecond() * dailyFactor);
      if (at >= seconds) {
        return requests;
      }
      requests.add(request(workload, rng, id++, at));
    }
  }

  private static BenchRequest request(
      WorkloadProfile workload, UniformRandomProvider rng, long id, double at) {
    int team = team(rng);
    TaskClassProfile taskClass = taskClass(workload, rng);
    double length = Math.exp(LENGTH_SPREAD * gaussian(rng));
    return new BenchRequest(
        id,
        at,
        team,
        stickyKey(team, rng.nextInt(USERS_PER_TEAM), at),
        taskClass,
        (int) Math.ceil(taskClass.inputTokens() * length),
        (int) Math.ceil(taskClass.outputTokens() * length),
        gaussian(rng));
  }

  private static String stickyKey(int team, int user, double at) {
    double phase = SESSION_SECONDS * user / USERS_PER_TEAM;
    long session = (long) ((at + phase) / SESSION_SECONDS);
    return team + "/" + user + "/" + session;
  }

  private static int team(UniformRandomProvider rng) {
    return rng.nextDouble() < LARGE_TEAM_SHARE
        ? rng.nextInt(LARGE_TEAMS)
        : LARGE_TEAMS + rng.nextInt(WorkloadProfile.TEAMS - LARGE_TEAMS);
  }

  private static TaskClassProfile taskClass(WorkloadProfile workload, UniformRandomProvider rng) {
    double draw = rng.nextDouble();
    for (TaskClassProfile taskClass : workload.classes()) {
      draw -= taskClass.share();
      if (draw < 0) {
        return taskClass;
      }
    }
    return workload.classes().get(workload.classes().size() - 1);
  }

  /** Returns a standard normal random number, by the Box-Muller transform. */
  static double gaussian(UniformRandomProvider rng) {
    double radius = Math.sqrt(-2 * Math.log(1 - rng.nextDouble()));
    return radius * Math.cos(2 * Math.PI * rng.nextDouble());
  }
}
