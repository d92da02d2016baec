package org.guavagw.internal.billing;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** A request whose bill is not durable yet. Guarded by {@link UnbilledRequests}. */
final class UnbilledRequest {
  /** Progress of the request's intent. */
  enum Stage {
    /** The intent is queued. */
    WAITING,
    /** The intent is in a segment that is not confirmed yet. */
    IN_SEGMENT,
    /** The intent is in the table service. */
    DURABLE,
    /** The segment contains the bill instead of the intent. */
    BILLED
  }

  private final BillIntentRecord intent;
  private final CompletableFuture<IntentOutcome> durable = new CompletableFuture<>();
  private Stage stage = Stage.WAITING;
  private Bill bill;

  UnbilledRequest(BillIntentRecord intent) {
    this.intent = intent;
  }

  BillIntentRecord intent() {
    return intent;
  }

  CompletableFuture<IntentOutcome> durable() {
    return durable;
  }

  Stage stage() {
    return stage;
  }

  void stage(Stage newStage) {
    stage = newStage;
  }

  Optional<Bill> bill() {
    return Optional.ofNullable(bill);
  }

  void bill(Bill newBill) {
    bill = newBill;
  }
}
