package org.guavagw.internal.limits;

/**
 * Settings of an {@link AdmissionQueue}. Shares are fractions of its limit, from 0 to 1. Immutable.
 *
 * @param maxQueued maximum number of queued requests of each class
 * @param longGuaranteedShare slots that long requests get even while interactive ones are queued
 * @param burstReserve slots kept free of long requests, as a multiple of the recent mean of
 *     interactive requests; long requests hold their slots too long to make room in a burst
 * @param maxReserveShare maximum share of slots that are kept free of long requests
 * @param interactiveOvercommit share by which interactive requests may exceed the limit, because
 *     engines serve them before the long requests in their own queues
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
