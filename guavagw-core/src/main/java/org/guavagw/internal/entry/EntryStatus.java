package org.guavagw.internal.entry;

import java.util.List;
import org.guavagw.internal.membership.DataCentreSummary;

/** Where an entry and its peers stand, for operators. Immutable. */
record EntryStatus(
    String entry,
    String dataCentre,
    boolean ready,
    long revision,
    List<DataCentreSummary> dataCentres) {}
