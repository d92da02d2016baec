package org.guavagw.standins.engine;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import org.guavagw.standins.fault.FaultInjector;

/** Scripted faults of one engine, which can be set while it runs. Thread-safe. */
public final class EngineFaults {
  private final FaultInjector<AnswerFault> streams = new FaultInjector<>();
  private volatile boolean refusing;
  private volatile boolean failing;
  private volatile double slowdown = 1;
  private volatile Duration delay = Duration.ZERO;
  private volatile OptionalDouble quality = OptionalDouble.empty();

  /** Hits the next request that starts to run, once. */
  public void injectNext(AnswerFault fault) {
    streams.injectNext(fault);
  }

  /** Hits each request that starts to run from now on. */
  public void injectAll(AnswerFault fault) {
    streams.injectAll(fault);
  }

  /** Refuses all requests and says that they were not run. */
  public void refuse(boolean on) {
    refusing = on;
  }

  /** Runs requests and then answers with status 500 and no statement on whether they ran. */
  public void failAfterRun(boolean on) {
    failing = on;
  }

  /** Lengthens all delays by a factor. */
  public void slowDown(double factor) {
    slowdown = factor;
  }

  /** Holds back the start of each answer. */
  public void delayAnswers(Duration by) {
    delay = by;
  }

  /** Gives all answers this quality from now on, whatever the quality model says. */
  public void overrideQuality(double q) {
    quality = OptionalDouble.of(q);
  }

  /** Takes back everything but faults of requests that run already. */
  public void clear() {
    streams.clear();
    refusing = false;
    failing = false;
    slowdown = 1;
    delay = Duration.ZERO;
    quality = OptionalDouble.empty();
  }

  Optional<AnswerFault> take() {
    return streams.take();
  }

  boolean refusing() {
    return refusing;
  }

  boolean failing() {
    return failing;
  }

  Duration stretch(Duration d) {
    return Duration.ofNanos((long) (d.toNanos() * slowdown));
  }

  Duration delay() {
    return delay;
  }

  double quality(double modelled) {
    return quality.orElse(modelled);
  }
}
