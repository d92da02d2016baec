package org.guavagw.internal.membership;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The entries of the whole system as this one knows them. Thread-safe to read; listeners run on the
 * control thread.
 *
 * <p>Views of two entries may differ for seconds, so nothing that needs agreement may rest on them.
 */
public interface Membership extends AutoCloseable {
  /** This entry. */
  Member self();

  /** All known members in order of id, this entry included. */
  List<Member> members();

  /** Finds a member. */
  default Optional<Member> member(String id) {
    return members().stream().filter(m -> m.id().equals(id)).findFirst();
  }

  /** Members of a data centre that take work, in order of id. */
  default List<Member> alive(String dataCentre) {
    return members().stream()
        .filter(m -> m.isAlive() && m.dataCentre().equals(dataCentre))
        .toList();
  }

  /** Calls the listener with the members after each change. */
  void onChange(Consumer<List<Member>> listener);

  /** Announces that this entry goes; peers stop using it. */
  void leave();

  @Override
  void close();
}
