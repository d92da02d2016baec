package org.guavagw.standins.fault;

import com.google.common.util.concurrent.Uninterruptibles;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.guavagw.platform.PlatformFailure;

/**
 * Decides the fate of each call to a stand-in of the platform: scripted for the next calls, else
 * standing, else drawn from a seed. Can be set while calls run. Thread-safe.
 */
public final class CallFaultInjector {
  private final FaultInjector<CallOutcome> scripted = new FaultInjector<>();
  private final UniformRandomProvider random;
  private volatile FaultRates rates = FaultRates.NONE;
  private volatile Duration delay = Duration.ZERO;

  /** No faults yet; {@code seed} is that of fates drawn later. */
  public CallFaultInjector(long seed) {
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  /** Sets the fate of one call; several wait in order. */
  public void injectNext(CallOutcome fate) {
    scripted.injectNext(fate);
  }

  /** Refuses every call, or ends that. */
  public void down(boolean on) {
    scripted.clear();
    if (on) {
      scripted.injectAll(CallOutcome.REFUSED);
    }
  }

  /** Loses every request, or ends that: calls fail and nobody can tell whether they had effect. */
  public void cutOff(boolean on) {
    scripted.clear();
    if (on) {
      scripted.injectAll(CallOutcome.REQUEST_LOST);
    }
  }

  /** Draws the fate of each call that nothing is scripted for. */
  public void rates(FaultRates r) {
    rates = r;
  }

  /** Holds back every call. */
  public void slow(Duration by) {
    delay = by;
  }

  /** Makes a call, or has it fail. */
  public <T> Either<PlatformFailure, T> call(Supplier<Either<PlatformFailure, T>> work) {
    Uninterruptibles.sleepUninterruptibly(delay);
    CallOutcome fate = scripted.take().orElseGet(this::draw);
    return switch (fate) {
      case ANSWERED -> work.get();
      case REFUSED -> Either.left(PlatformFailure.notApplied("unavailable"));
      case REQUEST_LOST -> Either.left(PlatformFailure.unknown("timeout"));
      case ANSWER_LOST -> work.get().flatMap(t -> Either.left(PlatformFailure.unknown("timeout")));
    };
  }

  private synchronized CallOutcome draw() {
    return rates.pick(random.nextDouble());
  }
}
