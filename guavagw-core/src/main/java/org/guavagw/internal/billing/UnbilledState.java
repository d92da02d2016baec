package org.guavagw.internal.billing;

/**
 * What an entry still owes the table service. Immutable.
 *
 * @param open requests whose outcome is not known yet
 * @param waitingIntents intents that no row holds yet
 * @param waitingBills bills that no row holds yet
 */
public record UnbilledState(String journal, int open, int waitingIntents, int waitingBills) {
  /** Records that still have to be written. */
  public int waiting() {
    return waitingIntents + waitingBills;
  }
}
