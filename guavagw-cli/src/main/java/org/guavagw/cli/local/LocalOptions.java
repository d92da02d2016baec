package org.guavagw.cli.local;

import java.time.Duration;
import org.guavagw.internal.entry.EntryHooks;
import org.guavagw.standins.engine.BatchSettings;
import org.guavagw.standins.engine.ColdStartSettings;
import org.guavagw.standins.engine.QualityModel;

/**
 * Options of a local deployment. Immutable.
 *
 * @param coldStart cold start behaviour of the engines
 * @param batch delays and batch size of the model engines
 * @param hooks wrappers of the mechanisms of the entries
 */
public record LocalOptions(
    long seed,
    QualityModel quality,
    BatchSettings batch,
    ColdStartSettings coldStart,
    EntryHooks hooks) {
  /** Concurrent requests that an engine accepts during a cold start. */
  public static final int COLD_SLOTS = 2;

  private static final Duration COLD_TIME = Duration.ofSeconds(6);
  private static final double QUALITY = 0.9;

  /** Returns options with short engine delays, good answers and unmodified entries. */
  public static LocalOptions standard(long seed) {
    return new LocalOptions(
        seed,
        QualityModel.constant(QUALITY),
        BatchSettings.withShortDelays(),
        ColdStartSettings.warm(),
        EntryHooks.NONE);
  }

  /** Returns a copy with another answer quality. */
  public LocalOptions withQuality(QualityModel other) {
    return new LocalOptions(seed, other, batch, coldStart, hooks);
  }

  /** Returns a copy with engines that answer without delay. */
  public LocalOptions withInstantEngines() {
    return new LocalOptions(seed, quality, BatchSettings.withoutDelays(), coldStart, hooks);
  }

  /** Returns a copy with wrapped mechanisms. */
  public LocalOptions withHooks(EntryHooks other) {
    return new LocalOptions(seed, quality, batch, coldStart, other);
  }

  /** Returns a copy with engines that have a cold start of several seconds. */
  public LocalOptions withColdStart() {
    ColdStartSettings cold = new ColdStartSettings(COLD_SLOTS, 0, COLD_TIME);
    return new LocalOptions(seed, quality, batch, cold, hooks);
  }
}
