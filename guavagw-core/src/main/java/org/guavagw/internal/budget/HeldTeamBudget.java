package org.guavagw.internal.budget;

import java.util.HashSet;
import java.util.Set;

/**
 * The part of one team's budget of one day that one entry holds.
 *
 * <p>A spent overdraft makes the held amount negative; the next slices make up for it. Thread-safe;
 * never blocks on the table service.
 */
final class HeldTeamBudget {
  private static final int REFILL_DIVISOR = 2;

  private final Set<Long> outstanding = new HashSet<>();
  private final String team;
  private final long epochDay;
  private long heldMicros;
  private long overdraftUsedMicros;
  private long lastSliceMicros;
  private long nextReservationId;
  private long spentUntilNanos;
  private boolean spent;

  HeldTeamBudget(String team, long epochDay) {
    this.team = team;
    this.epochDay = epochDay;
  }

  String team() {
    return team;
  }

  long epochDay() {
    return epochDay;
  }

  /** Reserves from the held amount. Returns null if it is too small. */
  synchronized Reservation reserveFromHeld(long micros) {
    if (heldMicros < micros) {
      return null;
    }
    return reserve(micros);
  }

  /**
   * Reserves more than the held amount, within the overdraft. Returns null if the overdraft is too
   * small.
   */
  synchronized Reservation reserveWithOverdraft(long micros, long overdraftMicros) {
    long beyondHeld = micros - Math.max(0, heldMicros);
    if (overdraftUsedMicros + beyondHeld > overdraftMicros) {
      return null;
    }
    overdraftUsedMicros += beyondHeld;
    return reserve(micros);
  }

  private Reservation reserve(long micros) {
    heldMicros -= micros;
    long id = nextReservationId++;
    outstanding.add(id);
    return new Reservation(id, team, epochDay, micros);
  }

  synchronized void settle(Reservation reservation, long actualMicros) {
    if (outstanding.remove(reservation.id())) {
      heldMicros += reservation.micros() - actualMicros;
    }
  }

  synchronized void addSlice(long micros) {
    heldMicros += micros;
    lastSliceMicros = micros;
    overdraftUsedMicros = Math.min(overdraftUsedMicros, Math.max(0, -heldMicros));
  }

  /** Records that the table had less budget left than was needed. */
  synchronized void markSpent(long untilNanos) {
    spent = true;
    spentUntilNanos = untilNanos;
  }

  synchronized boolean isSpent(long nowNanos) {
    spent = spent && nowNanos - spentUntilNanos < 0;
    return spent;
  }

  /** Returns how much is missing for a reservation, including a negative held amount. */
  synchronized long shortfall(long micros) {
    return Math.max(0, micros - heldMicros);
  }

  synchronized boolean needsRefill() {
    return heldMicros <= lastSliceMicros / REFILL_DIVISOR;
  }

  /** Sets the held amount to zero if it is positive. Returns the amount removed. */
  synchronized long removeUnspent() {
    long held = Math.max(0, heldMicros);
    heldMicros -= held;
    return held;
  }
}
