package org.guavagw.gateway.internal.control;

import java.time.Duration;
import java.util.function.DoubleSupplier;

/**
 * Pauses after failed calls to the store. They grow with the number of failures and are spread, so
 * that entries which lost the store together do not call it together. Stateless but for the source
 * of randomness.
 */
final class RetryPauses {
  /**
   * Pause after a failed call: short compared with the time limit for applying a configuration,
   * long compared with a call.
   */
  private static final Duration FIRST = Duration.ofMillis(250);

  /** Pause after a few failed calls; limits the load on a store that is down. */
  private static final Duration LATER = Duration.ofMillis(500);

  /** Pause after many failed calls; the outage is known to all by then. */
  private static final Duration LONG = Duration.ofMillis(800);

  /** Consecutive failures up to which the first pause is used. */
  private static final int MAX_FIRST = 2;

  /** Consecutive failures up to which the later pause is used. */
  private static final int MAX_LATER = 6;

  /** Pause while the probe table detects the end of the outage, which ends the pause early. */
  private static final Duration PROBED = Duration.ofSeconds(4);

  /** Pause of an entry that is not one of the readers, which detect the end of the outage. */
  private static final Duration PATIENT = Duration.ofSeconds(5);

  /** Part by which a pause is lengthened or shortened at random. */
  private static final double SPREAD = 0.2;

  private final DoubleSupplier random;

  /**
   * Creates pauses.
   *
   * @param random returns evenly distributed numbers from 0 to 1
   */
  RetryPauses(DoubleSupplier random) {
    this.random = random;
  }

  /**
   * Returns the pause after some consecutive failures.
   *
   * @param probed whether the retries for another table detect the end of the outage
   * @param patient whether other entries detect it
   */
  Duration after(int failures, boolean probed, boolean patient) {
    if (probed) {
      return PROBED;
    }
    if (patient) {
      return spread(PATIENT);
    }
    if (failures <= MAX_FIRST) {
      return FIRST;
    }
    return spread(failures <= MAX_LATER ? LATER : LONG);
  }

  private Duration spread(Duration pause) {
    double factor = 1 + SPREAD * (2 * random.getAsDouble() - 1);
    return Duration.ofMillis(Math.round(pause.toMillis() * factor));
  }
}
