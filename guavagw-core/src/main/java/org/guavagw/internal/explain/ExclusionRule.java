package org.guavagw.internal.explain;

/** The rule that excluded a candidate for a request. */
public enum ExclusionRule {
  NOT_ALLOWED,
  WITHDRAWN,
  ROLLOUT_SHARE,
  OTHER_VERSION_PINNED,
  BUDGET,
  QUALITY_TARGET,
  DATA_CENTRE_OUT,
  LEAVING,
  COLD_START,
  CIRCUIT_OPEN,
  QUEUE_FULL,
  NOT_LOADED,
  UNREACHABLE,
  ALREADY_TRIED,
  SCORED_LOWER
}
