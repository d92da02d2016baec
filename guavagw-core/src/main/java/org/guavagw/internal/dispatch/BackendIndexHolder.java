package org.guavagw.internal.dispatch;

import com.google.common.base.Ticker;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.guavagw.internal.config.ConfigSource;
import org.guavagw.internal.config.RevisionedConfig;
import org.guavagw.internal.placement.BackendIndex;

/**
 * Holds the index of backend servers and rebuilds it when a newer revision is known. Thread-safe.
 */
public final class BackendIndexHolder {
  private final ConfigSource configs;
  private final Ticker monotonic;
  private final Consumer<BackendIndex> listener;
  private final AtomicReference<BackendIndex> latest =
      new AtomicReference<>(BackendIndex.of(RevisionedConfig.NONE));

  /** Creates a holder that passes each new index to the listener. */
  public BackendIndexHolder(
      ConfigSource configs, Ticker monotonic, Consumer<BackendIndex> listener) {
    this.configs = configs;
    this.monotonic = monotonic;
    this.listener = listener;
  }

  /** Returns the index of the newest known revision. */
  public BackendIndex current() {
    RevisionedConfig newest = configs.current();
    BackendIndex index = latest.get();
    return index.revision() >= newest.revision() ? index : rebuild(newest);
  }

  private synchronized BackendIndex rebuild(RevisionedConfig newest) {
    BackendIndex index = latest.get();
    if (index.revision() >= newest.revision()) {
      return index;
    }
    BackendIndex next = index.next(newest, monotonic.read());
    latest.set(next);
    listener.accept(next);
    return next;
  }
}
