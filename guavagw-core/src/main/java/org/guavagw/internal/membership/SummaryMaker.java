package org.guavagw.internal.membership;

import java.util.List;

/** Sums up a data centre for the others. Called on the control thread. */
@FunctionalInterface
public interface SummaryMaker {
  /** The summary of a data centre with these members. */
  DataCentreSummary summarize(String dataCentre, long beat, List<Member> members);
}
