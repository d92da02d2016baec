package org.guavagw.internal.budget;

import java.util.HashSet;
import java.util.Set;

/**
 * What one entry holds of one team's budget on one day.
 *
 * <p>Spending without a slice counts as debt, which the next slice pays first. Thread-safe; never
 * blocks on the table service.
 */
final class TeamSlices {
  private static final int REFILL_DIVISOR = 2;

  private final Set<Long> outstanding = new HashSet<>();
  private final String team;
  private final long epochDay;
  private long heldMicros;
  private long graceUsedMicros;
  private long lastSliceMicros;
  private long nextReservation;
  private long spentUntilNanos;
  private boolean spent;

  TeamSlices(String team, long epochDay) {
    this.team = team;
    this.epochDay = epochDay;
  }

  String team() {
    return team;
  }

  long epochDay() {
    return epochDay;
  }

  /** Reserves from what is held; null if that is not enough. */
  synchronized Reservation reserveHeld(long micros) {
    if (heldMicros < micros) {
      return null;
    }
    return take(micros);
  }

  /** Reserves beyond what is held, within the grace; null if that is not enough. */
  synchronized Reservation reserveOnGrace(long micros, long graceMicros) {
    long beyondHeld = micros - Math.max(0, heldMicros);
    if (graceUsedMicros + beyondHeld > graceMicros) {
      return null;
    }
    graceUsedMicros += beyondHeld;
    return take(micros);
  }

  private Reservation take(long micros) {
    heldMicros -= micros;
    long id = nextReservation++;
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
    graceUsedMicros = Math.min(graceUsedMicros, Math.max(0, -heldMicros));
  }

  /** Notes that the table had less than was asked for. */
  synchronized void noteSpent(long untilNanos) {
    spent = true;
    spentUntilNanos = untilNanos;
  }

  synchronized boolean isSpent(long nowNanos) {
    spent = spent && nowNanos - spentUntilNanos < 0;
    return spent;
  }

  /** How much is missing for a reservation, debt included. */
  synchronized long missing(long micros) {
    return Math.max(0, micros - heldMicros);
  }

  synchronized boolean isLow() {
    return heldMicros <= lastSliceMicros / REFILL_DIVISOR;
  }

  /** Takes out everything that is held, or zero. */
  synchronized long removeHeld() {
    long held = Math.max(0, heldMicros);
    heldMicros -= held;
    return held;
  }
}
