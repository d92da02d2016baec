package org.guavagw.standins.history;

import java.util.Locale;

/** What a refusal says about whether the request ran. */
public enum ReportedRunState {
  NOT_RUN,
  RAN,
  UNKNOWN;

  /** Reads the form that callers see, as {@code not_run}. */
  public static ReportedRunState parse(String wireName) {
    return valueOf(wireName.toUpperCase(Locale.ROOT));
  }
}
