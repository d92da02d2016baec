package org.guavagw.internal.billing;

import java.util.Locale;
import org.guavagw.platform.RowKey;

/**
 * Identifies a bill journal of one incarnation of one entry. Immutable.
 *
 * @param generation increases when the entry finds its journal closed and starts a new one
 */
public record JournalId(String entry, long incarnation, int generation) {
  static final String LIVE_TABLE = "bill_journal";
  static final String DONE_TABLE = "bill_journal_done";
  static final String SEGMENT_TABLE = "bill_segment";
  private static final char AFTER_SLASH = '/' + 1;

  JournalId next() {
    return new JournalId(entry, incarnation, generation + 1);
  }

  /**
   * Returns the key of the row that exists while the journal is open or is waiting for the sweeper.
   */
  RowKey liveKey() {
    return new RowKey(LIVE_TABLE, text());
  }

  /** Returns the key of the row that exists once every intent of the journal has a bill. */
  RowKey doneKey() {
    return new RowKey(DONE_TABLE, text());
  }

  RowKey segmentKey(long number) {
    return new RowKey(SEGMENT_TABLE, String.format(Locale.ROOT, "%s/%012d", text(), number));
  }

  RowKey sweptSegmentKey(long journalVersion) {
    String key = String.format(Locale.ROOT, "%s/swept-%012d", text(), journalVersion);
    return new RowKey(SEGMENT_TABLE, key);
  }

  String firstSegment() {
    return text() + '/';
  }

  String afterLastSegment() {
    return text() + AFTER_SLASH;
  }

  private String text() {
    return String.format(Locale.ROOT, "%s~%020d~%04d", entry, incarnation, generation);
  }

  @Override
  public String toString() {
    return text();
  }
}
