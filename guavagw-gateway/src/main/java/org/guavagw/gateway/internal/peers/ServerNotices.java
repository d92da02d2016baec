package org.guavagw.gateway.internal.peers;

import com.google.common.collect.Sets;
import java.util.Set;

/**
 * What entries tell one another of backend servers beside the work there. Immutable.
 *
 * <p>Notices of several entries are joined on their way; each is true on its own, so it does no
 * harm that one arrives twice.
 *
 * @param leaving incarnations that said of late that they are leaving
 * @param prompts prompt parts that may end backend servers
 */
public record ServerNotices(Set<String> leaving, PromptNotices prompts) {
  /** Nothing to tell. */
  public static final ServerNotices NONE = new ServerNotices(Set.of(), PromptNotices.NONE);

  public ServerNotices {
    leaving = Set.copyOf(leaving);
  }

  // The generated method links method handles on first use, which slows down the start.
  @Override
  public boolean equals(Object other) {
    return other instanceof ServerNotices n
        && leaving.equals(n.leaving)
        && prompts.equals(n.prompts);
  }

  @Override
  public int hashCode() {
    return leaving.hashCode();
  }

  /** Returns what both tell. */
  ServerNotices plus(ServerNotices other) {
    return new ServerNotices(Sets.union(leaving, other.leaving), prompts.plus(other.prompts));
  }
}
