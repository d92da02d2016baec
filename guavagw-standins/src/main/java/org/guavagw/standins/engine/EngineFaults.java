package org.guavagw.standins.engine;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import org.guavagw.standins.fault.FaultInjector;

/** Faults to inject into one engine, which can be set while it runs. Thread-safe. */
public final class EngineFaults {
  private final FaultInjector<AnswerFault> answerFaults = new FaultInjector<>();
  private volatile boolean refusing;
  private volatile boolean failing;
  private volatile double slowdown = 1;
  private volatile Duration delay = Duration.ZERO;
  private volatile OptionalDouble quality = OptionalDouble.empty();

  /** Injects a fault into the next accepted request. */
  public void injectNext(AnswerFault fault) {
    answerFaults.injectNext(fault);
  }

  /** Injects a fault into every request accepted from now on. */
  public void injectAll(AnswerFault fault) {
    answerFaults.injectAll(fault);
  }

  /** Sets whether all requests are refused as not run. */
  public void refuse(boolean on) {
    refusing = on;
  }

  /** Sets whether requests run and are then answered with status 500, without a run state. */
  public void failAfterRun(boolean on) {
    failing = on;
  }

  /** Multiplies all delays by a factor. */
  public void slowDown(double factor) {
    slowdown = factor;
  }

  /** Delays the start of each answer. */
  public void delayAnswers(Duration by) {
    delay = by;
  }

  /** Sets the quality of all answers from now on, regardless of the quality model. */
  public void overrideQuality(double q) {
    quality = OptionalDouble.of(q);
  }

  /** Removes all faults except those of requests that were already accepted. */
  public void clear() {
    answerFaults.clear();
    refusing = false;
    failing = false;
    slowdown = 1;
    delay = Duration.ZERO;
    quality = OptionalDouble.empty();
  }

  Optional<AnswerFault> take() {
    return answerFaults.take();
  }

  boolean refusing() {
    return refusing;
  }

  boolean failing() {
    return failing;
  }

  Duration scaleDelay(Duration d) {
    return Duration.ofNanos((long) (d.toNanos() * slowdown));
  }

  Duration delay() {
    return delay;
  }

  double quality(double modelQuality) {
    return quality.orElse(modelQuality);
  }
}
