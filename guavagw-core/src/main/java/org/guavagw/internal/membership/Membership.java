package org.guavagw.internal.membership;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The entries of the whole system as seen by this one. May be read from any thread; listeners run
 * on the control thread.
 *
 * <p>The views of two entries may differ for seconds, so nothing that needs agreement may rely on
 * them.
 */
public interface Membership extends AutoCloseable {
  /** Returns this entry. */
  Member self();

  /** Returns all known members, including this entry, ordered by id. */
  List<Member> members();

  /** Returns the member with an id; empty if it is not known. */
  default Optional<Member> member(String id) {
    return members().stream().filter(m -> m.id().equals(id)).findFirst();
  }

  /** Returns the members of a data centre that are alive, ordered by id. */
  default List<Member> alive(String dataCentre) {
    return members().stream()
        .filter(m -> m.isAlive() && m.dataCentre().equals(dataCentre))
        .toList();
  }

  /** Adds a listener that is called with the members after each change. */
  void onChange(Consumer<List<Member>> listener);

  /** Announces that this entry is shutting down; peers stop using it. */
  void leave();

  @Override
  void close();
}
