package org.guavagw.internal.limits;

/**
 * Bounds of an {@link AdmissionQueue}. Shares are parts of its limit, from 0 to 1. Immutable.
 *
 * @param maxQueued requests of each class that wait at once
 * @param longGuaranteedShare slots that long requests get even while interactive ones wait
 * @param burstReserve how many times the recent mean of interactive requests is kept free of long
 *     ones, which hold their slots for too long to make room in a burst
 * @param maxReserveShare slots that are kept free of long requests at most
 * @param interactiveOvercommit part by which interactive requests may exceed the limit, because
 *     engines take them before the long ones that wait there
 */
public record AdmissionSettings(
    int maxQueued,
    double longGuaranteedShare,
    double burstReserve,
    double maxReserveShare,
    double interactiveOvercommit) {
  /** Settings for an entry with a few hundred worker threads. */
  public static final AdmissionSettings DEFAULT = new AdmissionSettings(1_000, 0.15, 8, 0.6, 0.25);
}
