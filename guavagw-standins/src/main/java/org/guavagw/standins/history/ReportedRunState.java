package org.guavagw.standins.history;

import java.util.Locale;

/** Whether the request ran, as a refusal reports it. */
public enum ReportedRunState {
  NOT_RUN,
  RAN,
  UNKNOWN;

  /** Parses the form that callers receive, such as {@code not_run}. */
  public static ReportedRunState parse(String wireName) {
    return valueOf(wireName.toUpperCase(Locale.ROOT));
  }
}
