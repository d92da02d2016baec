package org.guavagw.internal.cascade;

/** Why a cascade ended with an answer that a better step might have surpassed. */
public enum StopReason {
  LAST_STEP,
  DEADLINE,
  BUDGET,
  NOT_IDEMPOTENT
}
