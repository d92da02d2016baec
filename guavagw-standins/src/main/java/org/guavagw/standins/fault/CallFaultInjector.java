package org.guavagw.standins.fault;

import com.google.common.util.concurrent.Uninterruptibles;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.guavagw.platform.PlatformFailure;

/**
 * Determines the outcome of each call to a stand-in of the platform: a queued outcome, else a
 * permanent one, else one drawn at random from a seed. Can be changed while calls run. Thread-safe.
 */
public final class CallFaultInjector {
  private final FaultInjector<CallOutcome> injected = new FaultInjector<>();
  private final UniformRandomProvider random;
  private volatile FaultRates rates = FaultRates.NONE;
  private volatile Duration delay = Duration.ZERO;

  /** Starts without faults; {@code seed} is the seed of random outcomes. */
  public CallFaultInjector(long seed) {
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  /** Queues the outcome of one call; outcomes are used in order. */
  public void injectNext(CallOutcome outcome) {
    injected.injectNext(outcome);
  }

  /** Sets whether every call is refused. */
  public void down(boolean on) {
    injected.clear();
    if (on) {
      injected.injectAll(CallOutcome.REFUSED);
    }
  }

  /** Sets whether every request is lost: calls fail and their effect is unknown. */
  public void cutOff(boolean on) {
    injected.clear();
    if (on) {
      injected.injectAll(CallOutcome.REQUEST_LOST);
    }
  }

  /** Sets the rates of random outcomes for calls without an injected outcome. */
  public void rates(FaultRates r) {
    rates = r;
  }

  /** Delays every call. */
  public void slow(Duration by) {
    delay = by;
  }

  /** Makes a call or lets it fail. */
  public <T> Either<PlatformFailure, T> call(Supplier<Either<PlatformFailure, T>> work) {
    Uninterruptibles.sleepUninterruptibly(delay);
    CallOutcome outcome = injected.take().orElseGet(this::draw);
    return switch (outcome) {
      case ANSWERED -> work.get();
      case REFUSED -> Either.left(PlatformFailure.notApplied("unavailable"));
      case REQUEST_LOST -> Either.left(PlatformFailure.unknown("timeout"));
      case ANSWER_LOST -> work.get().flatMap(t -> Either.left(PlatformFailure.unknown("timeout")));
    };
  }

  private synchronized CallOutcome draw() {
    return rates.outcomeFor(random.nextDouble());
  }
}
