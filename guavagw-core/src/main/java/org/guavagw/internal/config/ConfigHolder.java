package org.guavagw.internal.config;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

/**
 * Holds the configuration in force at this entry: the newest that it has received.
 *
 * <p>Invariant: the revision never decreases, in whatever order revisions arrive. Thread-safe;
 * listeners run on the thread that adopts the revision.
 */
public final class ConfigHolder implements ConfigSource {
  private final AtomicReference<RevisionedConfig> held =
      new AtomicReference<>(RevisionedConfig.NONE);
  private final List<Consumer<RevisionedConfig>> listeners = new CopyOnWriteArrayList<>();

  @Override
  public RevisionedConfig current() {
    return held.get();
  }

  /** Adopts a revision if it is higher than the current one; returns whether it was adopted. */
  public boolean adopt(RevisionedConfig next) {
    RevisionedConfig before = held.getAndUpdate(h -> next.revision() > h.revision() ? next : h);
    boolean adopted = next.revision() > before.revision();
    if (adopted) {
      listeners.forEach(l -> l.accept(next));
    }
    return adopted;
  }

  /** Adds a listener that is called with each revision adopted from now on. */
  public void onAdopted(Consumer<RevisionedConfig> listener) {
    listeners.add(listener);
  }
}
