package org.guavagw.internal.dispatch;

import com.google.common.base.Ticker;
import java.util.concurrent.atomic.AtomicReference;
import org.guavagw.internal.config.ConfigSource;
import org.guavagw.internal.config.RevisionedConfig;
import org.guavagw.internal.placement.BackendIndex;

/** Keeps the index of backend servers in step with the newest revision. Thread-safe. */
public final class BackendIndexHolder {
  private final ConfigSource configs;
  private final Ticker monotonic;
  private final AtomicReference<BackendIndex> held =
      new AtomicReference<>(BackendIndex.of(RevisionedConfig.NONE));

  /** Creates a holder. */
  public BackendIndexHolder(ConfigSource configs, Ticker monotonic) {
    this.configs = configs;
    this.monotonic = monotonic;
  }

  /** The index of the newest known revision. */
  public BackendIndex current() {
    RevisionedConfig newest = configs.current();
    BackendIndex index = held.get();
    if (index.revision() >= newest.revision()) {
      return index;
    }
    return held.updateAndGet(
        i -> i.revision() >= newest.revision() ? i : i.next(newest, monotonic.read()));
  }
}
