package org.guavagw.internal.control;

import java.util.List;
import java.util.Optional;
import org.guavagw.internal.config.ConfigDistributor;
import org.guavagw.internal.config.ConfigHolder;
import org.guavagw.internal.config.FaultInjectingTableService;
import org.guavagw.internal.load.LoadReport;
import org.guavagw.internal.load.LoadReportDistributor;
import org.guavagw.internal.membership.GossipMembership;
import org.guavagw.internal.membership.Member;
import org.guavagw.internal.membership.MemberState;

/** Control plane of one entry of a test. Confined to the test thread. */
record TestEntry(
    String id,
    GossipMembership membership,
    ConfigHolder configs,
    ConfigDistributor configDistributor,
    LoadReportDistributor loads,
    FaultInjectingTableService tables) {
  String dataCentre() {
    return membership.self().dataCentre();
  }

  long revision() {
    return configs.current().revision();
  }

  Optional<MemberState> stateOf(String memberId) {
    return membership.member(memberId).map(Member::state);
  }

  List<String> aliveIds() {
    return membership.members().stream().filter(Member::isAlive).map(Member::id).toList();
  }

  Optional<LoadReport> load(String backendServer) {
    return loads.load(backendServer);
  }
}
