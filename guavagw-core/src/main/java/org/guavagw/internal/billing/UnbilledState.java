package org.guavagw.internal.billing;

/**
 * Counts of the records that an entry has not written to the table service yet. Immutable.
 *
 * @param open requests whose outcome is not known yet
 * @param waitingIntents intents that are not stored yet
 * @param waitingBills bills that are not stored yet
 */
public record UnbilledState(String journal, int open, int waitingIntents, int waitingBills) {
  /** Returns the number of records that are not stored yet. */
  public int pendingRecords() {
    return waitingIntents + waitingBills;
  }
}
