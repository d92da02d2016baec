package org.guavagw.internal.explain;

import io.vavr.control.Either;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.guavagw.internal.rows.RowCodec;
import org.guavagw.platform.ObjectStore;
import org.guavagw.platform.PlatformFailure;

/**
 * Stores batches of decision records in the object store. Objects are named {@code
 * decisions/<entry>/<hour>/<first>-<last>-<number>} after the times of their requests, so that a
 * lookup lists one hour of one entry and reads only objects whose span contains its time.
 * Thread-safe.
 */
final class DecisionArchive {
  private static final String ROOT = "decisions/";
  private static final long HOUR_MS = Duration.ofHours(1).toMillis();
  private static final RowCodec<DecisionBatch> CODEC = RowCodec.of(DecisionBatch.class);

  private final ObjectStore store;

  DecisionArchive(ObjectStore store) {
    this.store = store;
  }

  static long hourOf(long timeMs) {
    return timeMs / HOUR_MS;
  }

  Either<PlatformFailure, Void> write(ArchivedSpan span, DecisionBatch batch) {
    return store.put(span.objectName(), compress(batch));
  }

  /** Reads the batches of an entry that may contain a request made at the given time. */
  Either<PlatformFailure, List<DecisionBatch>> read(String entry, long timeMs) {
    String prefix = ROOT + entry + '/' + hourOf(timeMs) + '/';
    return store
        .list(prefix)
        .map(names -> names.stream().filter(n -> ArchivedSpan.contains(n, timeMs)).toList())
        .flatMap(this::readAll);
  }

  private Either<PlatformFailure, List<DecisionBatch>> readAll(List<String> names) {
    return Either.sequenceRight(io.vavr.collection.List.ofAll(names).map(this::readOne))
        .map(batches -> batches.toJavaStream().flatMap(Optional::stream).toList());
  }

  private Either<PlatformFailure, Optional<DecisionBatch>> readOne(String name) {
    return store.get(name).map(content -> content.map(DecisionArchive::decompress));
  }

  private static byte[] compress(DecisionBatch batch) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try (GZIPOutputStream zip = new GZIPOutputStream(out)) {
      zip.write(CODEC.encode(batch));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.toByteArray();
  }

  private static DecisionBatch decompress(byte[] content) {
    try (GZIPInputStream zip = new GZIPInputStream(new ByteArrayInputStream(content))) {
      return CODEC.decode(zip.readAllBytes());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Entry and number of a batch, and the times of its first and last request. Immutable. */
  record ArchivedSpan(String entry, long firstMs, long lastMs, long number) {
    String objectName() {
      String span = String.format(Locale.ROOT, "%015d-%015d-%d", firstMs, lastMs, number);
      return ROOT + entry + '/' + hourOf(firstMs) + '/' + span;
    }

    static boolean contains(String objectName, long timeMs) {
      String[] parts = objectName.substring(objectName.lastIndexOf('/') + 1).split("-", 3);
      return Long.parseLong(parts[0]) <= timeMs && timeMs <= Long.parseLong(parts[1]);
    }
  }
}
