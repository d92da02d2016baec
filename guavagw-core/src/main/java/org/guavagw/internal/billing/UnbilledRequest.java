package org.guavagw.internal.billing;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** One request on its way from intent to bill. Guarded by {@link UnbilledRequests}. */
final class UnbilledRequest {
  /** Where the request stands. */
  enum Stage {
    WAITING,
    IN_SEGMENT,
    DURABLE,
    BILLED
  }

  private final BillOpening opening;
  private final CompletableFuture<IntentOutcome> durable = new CompletableFuture<>();
  private Stage stage = Stage.WAITING;
  private Bill bill;

  UnbilledRequest(BillOpening opening) {
    this.opening = opening;
  }

  BillOpening opening() {
    return opening;
  }

  CompletableFuture<IntentOutcome> durable() {
    return durable;
  }

  Stage stage() {
    return stage;
  }

  void stage(Stage next) {
    stage = next;
  }

  Optional<Bill> bill() {
    return Optional.ofNullable(bill);
  }

  void bill(Bill known) {
    bill = known;
  }
}
