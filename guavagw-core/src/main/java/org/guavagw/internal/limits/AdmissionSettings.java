package org.guavagw.internal.limits;

/**
 * Bounds of an {@link AdmissionQueue}. Immutable.
 *
 * @param maxQueued requests of each class that wait at once
 * @param longGuaranteedShare part of the slots that long requests get even while interactive ones
 *     wait, from 0 to 1
 * @param longMaxShare part of the slots that long requests never exceed, from 0 to 1
 */
public record AdmissionSettings(int maxQueued, double longGuaranteedShare, double longMaxShare) {
  /** Settings for an entry with a few hundred worker threads. */
  public static final AdmissionSettings DEFAULT = new AdmissionSettings(1_000, 0.25, 0.7);
}
