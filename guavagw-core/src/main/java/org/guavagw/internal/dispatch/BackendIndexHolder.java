package org.guavagw.internal.dispatch;

import com.google.common.base.Ticker;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.guavagw.internal.config.ConfigSource;
import org.guavagw.internal.config.RevisionedConfig;
import org.guavagw.internal.placement.BackendIndex;

/** Keeps the index of backend servers in step with the newest revision. Thread-safe. */
public final class BackendIndexHolder {
  private final ConfigSource configs;
  private final Ticker monotonic;
  private final Consumer<BackendIndex> listener;
  private final AtomicReference<BackendIndex> held =
      new AtomicReference<>(BackendIndex.of(RevisionedConfig.NONE));

  /** Creates a holder that tells the listener of each new index. */
  public BackendIndexHolder(
      ConfigSource configs, Ticker monotonic, Consumer<BackendIndex> listener) {
    this.configs = configs;
    this.monotonic = monotonic;
    this.listener = listener;
  }

  /** The index of the newest known revision. */
  public BackendIndex current() {
    RevisionedConfig newest = configs.current();
    BackendIndex index = held.get();
    return index.revision() >= newest.revision() ? index : advance(newest);
  }

  private synchronized BackendIndex advance(RevisionedConfig newest) {
    BackendIndex index = held.get();
    if (index.revision() >= newest.revision()) {
      return index;
    }
    BackendIndex next = index.next(newest, monotonic.read());
    held.set(next);
    listener.accept(next);
    return next;
  }
}
