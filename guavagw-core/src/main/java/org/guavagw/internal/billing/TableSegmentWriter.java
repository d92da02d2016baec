package org.guavagw.internal.billing;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.guavagw.platform.TableService;

/**
 * Writes segments to the table service. Thread-safe; blocks.
 *
 * <p>Caches the row versions of open journals. They change only when a journal is closed, so a
 * write with a stale version always fails.
 */
public final class TableSegmentWriter implements SegmentWriter {
  private static final int MAX_CACHED_JOURNALS = 1_000;

  private final Cache<JournalId, Long> versions =
      Caffeine.newBuilder().maximumSize(MAX_CACHED_JOURNALS).build();
  private final JournalTable journals;

  public TableSegmentWriter(TableService table) {
    this.journals = new JournalTable(table);
  }

  @Override
  public Either<BillFailure, Void> write(PreparedSegment segment) {
    return version(segment.journal())
        .flatMap(version -> journals.append(new JournalTable.Append(segment, version)));
  }

  /**
   * Writes the first of the given segments in one transaction.
   *
   * @return results of the first segments, or an empty list if the transaction conflicted and must
   *     be repeated with fewer segments
   */
  List<Either<BillFailure, Void>> writeFirst(List<PreparedSegment> segments) {
    List<JournalTable.Append> appends = appendsToCachedJournals(segments);
    if (appends.size() <= 1) {
      return List.of(write(segments.get(0)));
    }
    return journals
        .appendAll(appends)
        .fold(
            failure -> Collections.nCopies(appends.size(), Either.left(failure)),
            done -> done ? Collections.nCopies(appends.size(), Either.right(null)) : List.of());
  }

  private List<JournalTable.Append> appendsToCachedJournals(List<PreparedSegment> segments) {
    List<JournalTable.Append> appends = new ArrayList<>();
    for (PreparedSegment segment : segments) {
      Long version = versions.getIfPresent(segment.journal());
      if (version == null) {
        return appends;
      }
      appends.add(new JournalTable.Append(segment, version));
    }
    return appends;
  }

  private Either<BillFailure, Long> version(JournalId journal) {
    Long cached = versions.getIfPresent(journal);
    if (cached != null) {
      return Either.right(cached);
    }
    return journals.open(journal).peek(version -> versions.put(journal, version));
  }
}
