package org.guavagw.internal.membership;

import java.util.List;

/** Creates the summary of a data centre. Called on the control thread. */
@FunctionalInterface
public interface DataCentreSummarizer {
  /** Returns the summary of a data centre with the given members. */
  DataCentreSummary summarize(String dataCentre, long beat, List<Member> members);
}
