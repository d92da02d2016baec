package org.guavagw.cli.local;

import org.guavagw.internal.entry.EntryHooks;
import org.guavagw.standins.engine.BatchSettings;
import org.guavagw.standins.engine.QualityModel;

/**
 * How a local deployment behaves. Immutable.
 *
 * @param batch pace and size of the model engines
 * @param hooks mechanisms of the entries that are wrapped
 */
public record LocalOptions(long seed, QualityModel quality, BatchSettings batch, EntryHooks hooks) {
  private static final double QUALITY = 0.9;

  /** Paced engines whose answers are all good, and entries as they are. */
  public static LocalOptions standard(long seed) {
    return new LocalOptions(
        seed, QualityModel.constant(QUALITY), BatchSettings.paced(), EntryHooks.NONE);
  }

  /** The same with another quality of answers. */
  public LocalOptions withQuality(QualityModel other) {
    return new LocalOptions(seed, other, batch, hooks);
  }

  /** The same with engines that answer at once. */
  public LocalOptions withInstantEngines() {
    return new LocalOptions(seed, quality, BatchSettings.instant(), hooks);
  }

  /** The same with wrapped mechanisms. */
  public LocalOptions withHooks(EntryHooks other) {
    return new LocalOptions(seed, quality, batch, other);
  }
}
