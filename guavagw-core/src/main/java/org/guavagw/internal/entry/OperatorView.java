package org.guavagw.internal.entry;

import java.util.Map;
import java.util.TreeMap;
import org.guavagw.EntrySettings;
import org.guavagw.config.BackendServerConfig;
import org.guavagw.internal.control.ControlPlane;
import org.guavagw.internal.lifecycle.InFlightRequests;
import org.guavagw.internal.permit.PeerPermitService;
import org.guavagw.internal.placement.BackendViews;
import org.guavagw.internal.session.TableSessionPins;

/** Creates the status and the state dump of an entry for operators. Immutable and thread-safe. */
record OperatorView(
    EntrySettings settings,
    ControlPlane control,
    DurableServices durable,
    RequestPipelines pipelines,
    PeerPermitService permits,
    TableSessionPins pins,
    InFlightRequests inFlight) {

  EntryStatus status(boolean ready) {
    return new EntryStatus(
        settings.entryId(),
        settings.dataCentre(),
        ready,
        control.configs().current().revision(),
        control.configDistributor().dataCentres());
  }

  EntryDump dump(boolean ready) {
    return new EntryDump(
        status(ready),
        control.membership().members(),
        permits.isOwner(),
        permits.heldCount(),
        inFlight.count(),
        pipelines.queues().queued(),
        pins.pendingCount(),
        durable.bills().unbilled(),
        durable.decisions().unwrittenCount(),
        serverStates());
  }

  private Map<String, EntryDump.ServerState> serverStates() {
    Map<String, EntryDump.ServerState> states = new TreeMap<>();
    BackendViews views = pipelines.views();
    for (BackendServerConfig server : control.configs().current().config().backendServers()) {
      String id = server.id();
      states.put(
          id,
          new EntryDump.ServerState(
              views.isCold(id), views.inFlight(id), views.circuit(id).name()));
    }
    return states;
  }
}
