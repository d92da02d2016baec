package org.guavagw.internal.entry;

import java.util.List;
import java.util.Map;
import org.guavagw.internal.billing.UnbilledState;
import org.guavagw.internal.membership.Member;

/** The state of an entry's parts, for the state dump. Immutable. */
record EntryDump(
    EntryStatus status,
    List<Member> members,
    boolean ownsPermits,
    int permitsHeld,
    int requestsUnderWay,
    int requestsQueued,
    int pinsWaiting,
    UnbilledState unbilled,
    int decisionsWaiting,
    Map<String, ServerState> backendServers) {

  /** What an entry knows of one backend server; immutable. */
  record ServerState(boolean cold, int inFlight, String circuit) {}
}
