package org.guavagw.cli.local;

import java.time.Duration;
import org.guavagw.internal.entry.EntryHooks;
import org.guavagw.standins.engine.BatchSettings;
import org.guavagw.standins.engine.ColdStartSettings;
import org.guavagw.standins.engine.QualityModel;

/**
 * How a local deployment behaves. Immutable.
 *
 * @param coldStart how engines warm up
 * @param batch pace and size of the model engines
 * @param hooks mechanisms of the entries that are wrapped
 */
public record LocalOptions(
    long seed,
    QualityModel quality,
    BatchSettings batch,
    ColdStartSettings coldStart,
    EntryHooks hooks) {
  /** Requests that an engine in cold start takes at once. */
  public static final int COLD_SLOTS = 2;

  private static final Duration COLD_TIME = Duration.ofSeconds(6);
  private static final double QUALITY = 0.9;

  /** Paced engines whose answers are all good, and entries as they are. */
  public static LocalOptions standard(long seed) {
    return new LocalOptions(
        seed,
        QualityModel.constant(QUALITY),
        BatchSettings.withShortDelays(),
        ColdStartSettings.warm(),
        EntryHooks.NONE);
  }

  /** The same with another quality of answers. */
  public LocalOptions withQuality(QualityModel other) {
    return new LocalOptions(seed, other, batch, coldStart, hooks);
  }

  /** The same with engines that answer at once. */
  public LocalOptions withInstantEngines() {
    return new LocalOptions(seed, quality, BatchSettings.withoutDelays(), coldStart, hooks);
  }

  /** The same with wrapped mechanisms. */
  public LocalOptions withHooks(EntryHooks other) {
    return new LocalOptions(seed, quality, batch, coldStart, other);
  }

  /** The same with engines that are cold for some seconds after each start. */
  public LocalOptions withColdStart() {
    ColdStartSettings cold = new ColdStartSettings(COLD_SLOTS, 0, COLD_TIME);
    return new LocalOptions(seed, quality, batch, cold, hooks);
  }
}
