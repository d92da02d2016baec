package org.guavagw.internal.config;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

/**
 * Holds the newest configuration that this entry has seen.
 *
 * <p>Invariant: the revision never falls, whatever order revisions arrive in. Thread-safe;
 * listeners run on the thread that brought the revision.
 */
public final class ConfigHolder implements ConfigSource {
  private final AtomicReference<RevisionedConfig> held =
      new AtomicReference<>(RevisionedConfig.NONE);
  private final List<Consumer<RevisionedConfig>> listeners = new CopyOnWriteArrayList<>();

  @Override
  public RevisionedConfig current() {
    return held.get();
  }

  /** Adopts a revision if it is higher than the held one, and says whether it was. */
  public boolean adopt(RevisionedConfig next) {
    RevisionedConfig before = held.getAndUpdate(h -> next.revision() > h.revision() ? next : h);
    boolean adopted = next.revision() > before.revision();
    if (adopted) {
      listeners.forEach(l -> l.accept(next));
    }
    return adopted;
  }

  /** Calls the listener with each adopted revision from now on. */
  public void onAdopted(Consumer<RevisionedConfig> listener) {
    listeners.add(listener);
  }
}
