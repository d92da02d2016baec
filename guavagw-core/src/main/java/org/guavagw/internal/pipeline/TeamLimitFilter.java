package org.guavagw.internal.pipeline;

import io.vavr.control.Either;
import java.time.Duration;
import org.guavagw.Refusal;
import org.guavagw.RefusalCode;
import org.guavagw.config.TeamConfig;
import org.guavagw.internal.limits.TeamLimiter;

/** Limits the number of requests of a team that this entry handles at once. Thread-safe. */
public final class TeamLimitFilter implements Filter {
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final TeamLimiter limiter;

  /** Creates the filter. */
  public TeamLimitFilter(TeamLimiter limiter) {
    this.limiter = limiter;
  }

  @Override
  public Either<Refusal, CompletedAnswer> apply(Exchange exchange, FilterChain next) {
    TeamConfig team = exchange.requireTeam();
    int max = team.limits().maxConcurrentRequests();
    if (!limiter.tryAcquire(team.id(), max)) {
      return Either.left(
          Refusal.notRun(
              RefusalCode.TEAM_LIMIT,
              "your team already has " + max + " requests in flight at this entry",
              RETRY_AFTER));
    }
    try {
      return next.proceed(exchange);
    } finally {
      limiter.release(team.id());
    }
  }
}
