package org.guavagw.internal.entry;

import java.util.List;
import java.util.Map;
import org.guavagw.internal.billing.UnbilledState;
import org.guavagw.internal.membership.Member;

/** Content of the state dump. Immutable. */
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

  /** State of one backend server as seen by the entry. Immutable. */
  record ServerState(boolean cold, int inFlight, String circuit) {}
}
