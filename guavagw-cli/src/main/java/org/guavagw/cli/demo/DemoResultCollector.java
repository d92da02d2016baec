package org.guavagw.cli.demo;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.guavagw.cli.local.CallerResult;
import org.guavagw.cli.local.LocalDeployment;
import org.guavagw.config.GatewayConfig;
import org.guavagw.config.TeamConfig;
import org.guavagw.internal.billing.Bill;
import org.guavagw.internal.billing.BillReader;
import org.guavagw.standins.engine.Execution;

/** Compares the results of callers with the records of the stand-ins. Thread-safe. */
final class DemoResultCollector {
  private final List<CallerResult> results = new ArrayList<>();
  private final Map<String, String> teamByRequest = new HashMap<>();

  synchronized void add(String team, CallerResult result) {
    results.add(result);
    if (!result.requestId().isEmpty()) {
      teamByRequest.put(result.requestId(), team);
    }
  }

  /** Creates the report; call after all requests have ended and all bills are written. */
  synchronized DemoReport report(LocalDeployment local) {
    Multiset<String> bills = HashMultiset.create();
    for (Bill bill : new BillReader(local.table()).bills().get()) {
      bills.add(bill.requestId());
    }
    long unbilled = answeredRequestIds().stream().filter(id -> !bills.contains(id)).count();
    long doubleBilled = bills.entrySet().stream().filter(e -> e.getCount() > 1).count();
    long ranTwice =
        local.calls().byIdempotencyKey().entrySet().stream().filter(e -> e.getCount() > 1).count();
    return new DemoReport(
        results.size(),
        count(CallerResult.Kind.ANSWERED),
        count(CallerResult.Kind.REFUSED),
        count(CallerResult.Kind.CUT) + count(CallerResult.Kind.WRONG),
        unbilled,
        doubleBilled,
        notAllowed(local),
        ranTwice);
  }

  private Set<String> answeredRequestIds() {
    Set<String> ids = new HashSet<>();
    results.stream()
        .filter(r -> r.kind() == CallerResult.Kind.ANSWERED)
        .forEach(r -> ids.add(r.requestId()));
    return ids;
  }

  private long count(CallerResult.Kind kind) {
    return results.stream().filter(r -> r.kind() == kind).count();
  }

  private long notAllowed(LocalDeployment local) {
    GatewayConfig config = local.history().latest().get().config();
    return local.executions().executions().stream().filter(e -> !isAllowed(config, e)).count();
  }

  private boolean isAllowed(GatewayConfig config, Execution execution) {
    String team = teamByRequest.getOrDefault(execution.requestId(), "");
    return config.team(team).filter((TeamConfig t) -> t.allows(execution.version())).isPresent();
  }
}
