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
 * <p>Each request is in at most one queue. A bill that is known before its intent is written
 * replaces the intent, so a request takes at most two records. At most one segment is unconfirmed.
 * Thread-safe; never blocks on the table service.
 */
final class UnbilledRequests {
  private final Map<String, UnbilledRequest> requests = new HashMap<>();
  private final Deque<UnbilledRequest> intents = new ArrayDeque<>();
  private final Deque<UnbilledRequest> bills = new ArrayDeque<>();
  private final BillSettings settings;
  private List<UnbilledRequest> unconfirmedIntents = List.of();
  private List<UnbilledRequest> unconfirmedBills = List.of();

  UnbilledRequests(BillSettings settings) {
    this.settings = settings;
  }

  synchronized CompletableFuture<IntentOutcome> open(BillIntentRecord intent) {
    UnbilledRequest existing = requests.get(intent.requestId());
    if (existing != null) {
      return existing.durable();
    }
    if (requests.size() >= settings.maxUnbilled()) {
      return CompletableFuture.completedFuture(
          new IntentOutcome.Refused("too many requests are waiting for their bills"));
    }
    UnbilledRequest request = new UnbilledRequest(intent);
    requests.put(intent.requestId(), request);
    intents.addLast(request);
    return request.durable();
  }

  /**
   * Sets the bill of a request to its actual cost. Later calls for the same request have no effect.
   */
  synchronized void settle(Settlement settlement) {
    UnbilledRequest request = requests.get(settlement.requestId());
    if (request == null || request.bill().isPresent()) {
      return;
    }
    bill(request, Bill.of(request.intent(), settlement));
  }

  /** Sets the bill of a request that did not run. */
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
    bill(request, Bill.notRun(request.intent()));
  }

  private void bill(UnbilledRequest request, Bill bill) {
    request.bill(bill);
    if (request.stage() == Stage.DURABLE) {
      bills.addLast(request);
    }
  }

  /**
   * Returns the content of the next segment, or empty if no record is queued. Call {@link #confirm}
   * or {@link #moveToNewJournal} before the next call.
   */
  synchronized Optional<SegmentRow> nextSegment() {
    unconfirmedIntents = takeFrom(intents, settings.recordsPerSegment());
    unconfirmedBills = takeFrom(bills, settings.recordsPerSegment() - unconfirmedIntents.size());
    if (unconfirmedIntents.isEmpty() && unconfirmedBills.isEmpty()) {
      return Optional.empty();
    }
    List<BillIntentRecord> openIntents = new ArrayList<>();
    List<Bill> knownBills = new ArrayList<>();
    for (UnbilledRequest request : unconfirmedIntents) {
      boolean billed = request.bill().isPresent();
      request.stage(billed ? Stage.BILLED : Stage.IN_SEGMENT);
      request.bill().ifPresentOrElse(knownBills::add, () -> openIntents.add(request.intent()));
    }
    unconfirmedBills.forEach(r -> knownBills.add(r.bill().orElseThrow()));
    return Optional.of(new SegmentRow(openIntents, knownBills));
  }

  private static List<UnbilledRequest> takeFrom(Deque<UnbilledRequest> queue, int max) {
    List<UnbilledRequest> taken = new ArrayList<>();
    while (taken.size() < max && !queue.isEmpty()) {
      taken.add(queue.removeFirst());
    }
    return taken;
  }

  /**
   * Marks the unconfirmed segment as durable. Returns the futures of its intents, to be completed.
   */
  synchronized List<CompletableFuture<IntentOutcome>> confirm() {
    List<CompletableFuture<IntentOutcome>> futures = new ArrayList<>();
    for (UnbilledRequest request : unconfirmedIntents) {
      futures.add(request.durable());
      confirmIntent(request);
    }
    unconfirmedBills.forEach(this::drop);
    unconfirmedIntents = List.of();
    unconfirmedBills = List.of();
    return futures;
  }

  private void confirmIntent(UnbilledRequest request) {
    if (request.stage() == Stage.BILLED) {
      drop(request);
      return;
    }
    request.stage(Stage.DURABLE);
    if (request.bill().isPresent()) {
      bills.addLast(request);
    }
  }

  private void drop(UnbilledRequest request) {
    requests.remove(request.intent().requestId());
  }

  /**
   * Starts a new journal after the current one was closed. Drops requests with durable intents,
   * which the sweeper bills, and queues the others again.
   */
  synchronized void moveToNewJournal() {
    requests.values().removeIf(r -> r.stage() == Stage.DURABLE);
    bills.clear();
    for (int i = unconfirmedIntents.size() - 1; i >= 0; i--) {
      UnbilledRequest request = unconfirmedIntents.get(i);
      request.stage(Stage.WAITING);
      intents.addFirst(request);
    }
    unconfirmedIntents = List.of();
    unconfirmedBills = List.of();
  }

  /** Returns the incomplete futures of intents that are not durable yet. */
  synchronized List<CompletableFuture<IntentOutcome>> incompleteFutures() {
    List<CompletableFuture<IntentOutcome>> futures = new ArrayList<>();
    unconfirmedIntents.forEach(r -> futures.add(r.durable()));
    intents.forEach(r -> futures.add(r.durable()));
    return futures.stream().filter(f -> !f.isDone()).toList();
  }

  synchronized boolean isIdle() {
    return intents.isEmpty()
        && bills.isEmpty()
        && unconfirmedIntents.isEmpty()
        && unconfirmedBills.isEmpty();
  }

  synchronized UnbilledState state(JournalId journal) {
    int unsettled = (int) requests.values().stream().filter(r -> r.bill().isEmpty()).count();
    return new UnbilledState(
        journal.toString(),
        unsettled,
        intents.size() + unconfirmedIntents.size(),
        bills.size() + unconfirmedBills.size());
  }
}
