package org.guavagw.internal.entry;

import java.util.List;
import org.guavagw.internal.membership.DataCentreSummary;

/** Status of an entry and of the data centres, for operators. Immutable. */
record EntryStatus(
    String entry,
    String dataCentre,
    boolean ready,
    long revision,
    List<DataCentreSummary> dataCentres) {}
