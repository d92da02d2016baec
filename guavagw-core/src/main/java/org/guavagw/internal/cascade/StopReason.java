package org.guavagw.internal.cascade;

/** Why a cascade ended with an answer that a further step might have improved. */
public enum StopReason {
  LAST_STEP,
  DEADLINE,
  BUDGET,
  NOT_IDEMPOTENT
}
