package org.guavagw.internal.billing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.guavagw.internal.billing.UnbilledRequest.Stage;

/**
 * The requests of one entry whose bills are not durable yet.
 *
 * <p>Each request is in at most one queue. A bill that is known before its intent was written takes
 * the intent's place, so that each request costs at most two records. At most one segment is on its
 * way. Thread-safe; never blocks on the table service.
 */
final class UnbilledRequests {
  private final Map<String, UnbilledRequest> requests = new HashMap<>();
  private final Deque<UnbilledRequest> intents = new ArrayDeque<>();
  private final Deque<UnbilledRequest> bills = new ArrayDeque<>();
  private final BillSettings settings;
  private List<UnbilledRequest> sentIntents = List.of();
  private List<UnbilledRequest> sentBills = List.of();

  UnbilledRequests(BillSettings settings) {
    this.settings = settings;
  }

  synchronized CompletableFuture<IntentOutcome> open(BillOpening opening) {
    UnbilledRequest known = requests.get(opening.requestId());
    if (known != null) {
      return known.durable();
    }
    if (requests.size() >= settings.maxUnbilled()) {
      return CompletableFuture.completedFuture(
          new IntentOutcome.Refused("too many requests wait for their bills"));
    }
    UnbilledRequest request = new UnbilledRequest(opening);
    requests.put(opening.requestId(), request);
    intents.addLast(request);
    return request.durable();
  }

  /** Takes in what a request cost; later calls for the same request change nothing. */
  synchronized void settle(Settlement settlement) {
    UnbilledRequest request = requests.get(settlement.requestId());
    if (request == null || request.bill().isPresent()) {
      return;
    }
    bill(request, Bill.of(request.opening(), settlement));
  }

  /** Takes in that a request did not run. */
  synchronized void cancel(String requestId) {
    UnbilledRequest request = requests.get(requestId);
    if (request == null || request.bill().isPresent()) {
      return;
    }
    if (request.stage() == Stage.WAITING) {
      intents.remove(request);
      requests.remove(requestId);
      return;
    }
    bill(request, Bill.notRun(request.opening()));
  }

  private void bill(UnbilledRequest request, Bill bill) {
    request.bill(bill);
    if (request.stage() == Stage.DURABLE) {
      bills.addLast(request);
    }
  }

  /** The content of the next segment, if anything waits; it must be confirmed or withdrawn. */
  synchronized Optional<SegmentRow> nextSegment() {
    sentIntents = takeFrom(intents, settings.recordsPerSegment());
    sentBills = takeFrom(bills, settings.recordsPerSegment() - sentIntents.size());
    if (sentIntents.isEmpty() && sentBills.isEmpty()) {
      return Optional.empty();
    }
    List<BillOpening> openings = new ArrayList<>();
    List<Bill> known = new ArrayList<>();
    for (UnbilledRequest request : sentIntents) {
      boolean billed = request.bill().isPresent();
      request.stage(billed ? Stage.BILLED : Stage.IN_SEGMENT);
      request.bill().ifPresentOrElse(known::add, () -> openings.add(request.opening()));
    }
    sentBills.forEach(r -> known.add(r.bill().orElseThrow()));
    return Optional.of(new SegmentRow(openings, known));
  }

  private static List<UnbilledRequest> takeFrom(Deque<UnbilledRequest> queue, int max) {
    List<UnbilledRequest> taken = new ArrayList<>();
    while (taken.size() < max && !queue.isEmpty()) {
      taken.add(queue.removeFirst());
    }
    return taken;
  }

  /** The segment on its way is durable; gives back the futures to complete. */
  synchronized List<CompletableFuture<IntentOutcome>> confirm() {
    List<CompletableFuture<IntentOutcome>> waiters = new ArrayList<>();
    for (UnbilledRequest request : sentIntents) {
      waiters.add(request.durable());
      confirmIntent(request);
    }
    sentBills.forEach(this::forget);
    sentIntents = List.of();
    sentBills = List.of();
    return waiters;
  }

  private void confirmIntent(UnbilledRequest request) {
    if (request.stage() == Stage.BILLED) {
      forget(request);
      return;
    }
    request.stage(Stage.DURABLE);
    if (request.bill().isPresent()) {
      bills.addLast(request);
    }
  }

  private void forget(UnbilledRequest request) {
    requests.remove(request.opening().requestId());
  }

  /**
   * The journal is closed for good and the sweeper bills its durable intents: forgets those, and
   * puts what never was durable back into the queue.
   */
  synchronized void moveToNewJournal() {
    requests.values().removeIf(r -> r.stage() == Stage.DURABLE);
    bills.clear();
    for (int i = sentIntents.size() - 1; i >= 0; i--) {
      UnbilledRequest request = sentIntents.get(i);
      request.stage(Stage.WAITING);
      intents.addFirst(request);
    }
    sentIntents = List.of();
    sentBills = List.of();
  }

  /** The futures of intents that wait, because the table service does not take them now. */
  synchronized List<CompletableFuture<IntentOutcome>> waiting() {
    List<CompletableFuture<IntentOutcome>> waiters = new ArrayList<>();
    sentIntents.forEach(r -> waiters.add(r.durable()));
    intents.forEach(r -> waiters.add(r.durable()));
    return waiters.stream().filter(w -> !w.isDone()).toList();
  }

  synchronized boolean isIdle() {
    return intents.isEmpty() && bills.isEmpty() && sentIntents.isEmpty() && sentBills.isEmpty();
  }

  synchronized UnbilledState state(JournalId journal) {
    int unsettled = (int) requests.values().stream().filter(r -> r.bill().isEmpty()).count();
    return new UnbilledState(
        journal.toString(),
        unsettled,
        intents.size() + sentIntents.size(),
        bills.size() + sentBills.size());
  }
}
