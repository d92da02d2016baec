package org.guavagw.gateway.internal.admission;

/**
 * Settings of the queues of an entry. Immutable.
 *
 * @param maxRequests maximum number of waiting requests of each service; 0 for no waiting
 * @param maxBytes maximum size of their bodies together, for each service
 * @param minServiceRatio fraction of the average service rate that each route and each team gets
 *     whatever more urgent ones send, from 0 to 1
 */
public record QueueSettings(int maxRequests, long maxBytes, double minServiceRatio) {
  /** Settings for an entry with a few hundred megabytes of memory. */
  public static final QueueSettings DEFAULT = new QueueSettings(512, 8 << 20, 0.3);

  public QueueSettings {
    if (maxRequests < 0 || maxBytes < 0 || !(minServiceRatio >= 0 && minServiceRatio <= 1)) {
      throw new IllegalArgumentException("settings out of range");
    }
  }
}
