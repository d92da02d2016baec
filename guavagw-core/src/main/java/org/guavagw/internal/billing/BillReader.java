package org.guavagw.internal.billing;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.guavagw.internal.explain.RequestIds;
import org.guavagw.platform.PlatformFailure;
import org.guavagw.platform.Row;
import org.guavagw.platform.TableService;

/**
 * Reads bills and open intents from the journals of all entries. Thread-safe; blocks on the table
 * service.
 */
public final class BillReader {
  private static final int ROWS_PER_READ = 500;
  private static final String FIRST_KEY = "";
  private static final String AFTER_LAST_KEY = "\uffff";
  private static final char AFTER_ENTRY_SEPARATOR = '~' + 1;

  private final TableService table;

  public BillReader(TableService table) {
    this.table = table;
  }

  /** Returns all bills, including duplicates if there are any. */
  public Either<PlatformFailure, List<Bill>> bills() {
    return segments(FIRST_KEY, AFTER_LAST_KEY).map(BillReader::billsOf);
  }

  /** Returns the open intents, which have no bill yet, in all journals. */
  public Either<PlatformFailure, List<BillIntentRecord>> unsettled() {
    return segments(FIRST_KEY, AFTER_LAST_KEY).map(BillReader::unsettledOf);
  }

  /**
   * Returns the bill of a request. Searches the journals of the entry that the request id names.
   */
  public Either<PlatformFailure, Optional<Bill>> find(String requestId) {
    Optional<String> entry = RequestIds.entryOf(requestId);
    if (entry.isEmpty()) {
      return Either.right(Optional.empty());
    }
    return segments(entry.get() + '~', entry.get() + AFTER_ENTRY_SEPARATOR)
        .map(BillReader::billsOf)
        .map(bills -> bills.stream().filter(b -> b.requestId().equals(requestId)).findFirst());
  }

  Either<PlatformFailure, List<BillIntentRecord>> unsettledOf(JournalId journal) {
    return segments(journal.firstSegment(), journal.afterLastSegment())
        .map(BillReader::unsettledOf);
  }

  private Either<PlatformFailure, List<SegmentRow>> segments(String from, String to) {
    List<SegmentRow> decoded = new ArrayList<>();
    String next = from;
    while (true) {
      Either<PlatformFailure, List<Row>> read =
          table.range(JournalId.SEGMENT_TABLE, next, to, ROWS_PER_READ);
      if (read.isLeft()) {
        return Either.left(read.getLeft());
      }
      List<Row> rows = read.get();
      rows.forEach(r -> decoded.add(SegmentRow.CODEC.decode(r.value())));
      if (rows.size() < ROWS_PER_READ) {
        return Either.right(decoded);
      }
      next = rows.get(rows.size() - 1).key().key() + '\0';
    }
  }

  private static List<Bill> billsOf(List<SegmentRow> segments) {
    return segments.stream().flatMap(s -> s.bills().stream()).toList();
  }

  private static List<BillIntentRecord> unsettledOf(List<SegmentRow> segments) {
    Map<String, BillIntentRecord> open = new LinkedHashMap<>();
    segments.forEach(s -> s.intents().forEach(i -> open.put(i.requestId(), i)));
    segments.forEach(s -> s.bills().forEach(b -> open.remove(b.requestId())));
    return List.copyOf(open.values());
  }
}
