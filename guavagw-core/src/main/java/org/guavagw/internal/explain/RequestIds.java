package org.guavagw.internal.explain;

import com.google.common.io.BaseEncoding;
import com.google.common.primitives.Longs;
import java.security.SecureRandom;
import java.time.DateTimeException;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Creates request ids of the form {@code <time><random>-<entry>}.
 *
 * <p>Ids sort by the millisecond in which they were created. Two ids differ unless 60 random bits
 * collide within one millisecond of one entry. Thread-safe.
 */
public final class RequestIds {
  private static final BaseEncoding BASE32 = BaseEncoding.base32Hex().lowerCase().omitPadding();
  private static final Pattern FORM = Pattern.compile("[0-9a-v]{22}-[A-Za-z0-9._-]{1,64}");
  private static final int TIME_CHARS = 10;
  private static final int RANDOM_CHARS = 12;
  private static final int ENTRY_START = TIME_CHARS + RANDOM_CHARS + 1;
  private static final int TIME_BYTES = 6;
  private static final int RANDOM_BYTES = 8;

  private final SecureRandom random = new SecureRandom();
  private final String entry;
  private final InstantSource wall;

  /** Creates ids of an entry, whose name may have letters, digits, dots, underscores, hyphens. */
  public RequestIds(String entry, InstantSource wall) {
    this.entry = entry;
    this.wall = wall;
    if (!isWellFormed(next())) {
      throw new IllegalArgumentException("invalid name of an entry: " + entry);
    }
  }

  /** Returns a new id. */
  public String next() {
    byte[] tail = new byte[RANDOM_BYTES];
    random.nextBytes(tail);
    String randomPart = BASE32.encode(tail).substring(0, RANDOM_CHARS);
    return timePart(wall.millis()) + randomPart + '-' + entry;
  }

  /** Returns the entry that created an id; empty if the id is malformed. */
  public static Optional<String> entryOf(String id) {
    return isWellFormed(id) ? Optional.of(id.substring(ENTRY_START)) : Optional.empty();
  }

  /** Returns when an id was created; empty if the id is malformed. */
  public static Optional<Instant> timeOf(String id) {
    if (!isWellFormed(id)) {
      return Optional.empty();
    }
    try {
      byte[] bytes = BASE32.decode(id.substring(0, TIME_CHARS));
      byte[] padded = new byte[Longs.BYTES];
      System.arraycopy(bytes, 0, padded, Longs.BYTES - TIME_BYTES, TIME_BYTES);
      return Optional.of(Instant.ofEpochMilli(Longs.fromByteArray(padded)));
    } catch (IllegalArgumentException | DateTimeException e) {
      return Optional.empty();
    }
  }

  private static boolean isWellFormed(String id) {
    return FORM.matcher(id).matches();
  }

  private static String timePart(long millis) {
    return BASE32.encode(Longs.toByteArray(millis), Longs.BYTES - TIME_BYTES, TIME_BYTES);
  }
}
